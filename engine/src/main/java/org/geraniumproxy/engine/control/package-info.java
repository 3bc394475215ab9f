/** The control thread. It applies events to an immutable state and publishes the result to the traffic thread. */
package org.geraniumproxy.engine.control;
