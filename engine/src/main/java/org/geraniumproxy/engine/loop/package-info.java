/** Non-blocking event loop: one thread serves many connections. */
package org.geraniumproxy.engine.loop;
