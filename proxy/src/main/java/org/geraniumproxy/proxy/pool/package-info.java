/** Slot queues and connection pools of the databases that this VM serves. */
package org.geraniumproxy.proxy.pool;
