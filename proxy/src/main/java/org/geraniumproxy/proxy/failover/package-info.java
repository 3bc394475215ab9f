/** Supervision of the database groups of this VM. */
package org.geraniumproxy.proxy.failover;
