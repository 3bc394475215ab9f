/** Sockets, timers and threads around the core, for callers with sessions. */
package org.geraniumproxy.engine;
