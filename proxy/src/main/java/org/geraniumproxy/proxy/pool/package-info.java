/** Owner of the slot queues and connections of this VM. */
package org.geraniumproxy.proxy.pool;
