/** Supervision of database groups: status polls, promotions and confirmation of durable writes. */
package org.geraniumproxy.proxy.failover;
