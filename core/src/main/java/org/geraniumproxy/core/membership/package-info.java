/** The roster of VMs, their liveness and the age of a proxy's view. */
package org.geraniumproxy.core.membership;
