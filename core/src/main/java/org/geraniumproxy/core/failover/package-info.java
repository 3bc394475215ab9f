/** Failure detection, promotion of databases, and acknowledgement of replicated writes. */
package org.geraniumproxy.core.failover;
