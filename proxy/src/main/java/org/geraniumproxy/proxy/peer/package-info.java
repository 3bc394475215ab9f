/** Links between the VMs of the system. */
package org.geraniumproxy.proxy.peer;
