/** The control thread: its state is replaced by pure decisions and published to the traffic thread. */
package org.geraniumproxy.engine.control;
