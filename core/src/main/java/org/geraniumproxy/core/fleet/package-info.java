/** What a VM believes about the configuration, the databases and the other VMs, and what it tells them. */
package org.geraniumproxy.core.fleet;
