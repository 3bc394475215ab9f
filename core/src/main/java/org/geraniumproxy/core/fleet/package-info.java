/** State of a VM about the configuration, the databases and the other VMs, and the messages between VMs. */
package org.geraniumproxy.core.fleet;
