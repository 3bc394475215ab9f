/** Messages between VMs. */
package org.geraniumproxy.engine.peer;
