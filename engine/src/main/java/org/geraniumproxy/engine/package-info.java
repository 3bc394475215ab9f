/** Sockets, timers and threads round the core, for callers with sessions. */
package org.geraniumproxy.engine;
