/** The event loop of a thread that serves many connections. */
package org.geraniumproxy.engine.loop;
