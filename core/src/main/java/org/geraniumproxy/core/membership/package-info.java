/** Roster of VMs, their liveness, and the age of a VM's view of configuration and roster. */
package org.geraniumproxy.core.membership;
