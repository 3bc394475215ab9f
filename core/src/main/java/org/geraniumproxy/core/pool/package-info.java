/** Slots, connections and the fair queue in front of them. */
package org.geraniumproxy.core.pool;
