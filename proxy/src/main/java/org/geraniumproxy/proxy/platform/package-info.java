/** Access to the platform's list of VMs. */
package org.geraniumproxy.proxy.platform;
