/** Failure detection, promotion and the acknowledgement of writes. */
package org.geraniumproxy.core.failover;
