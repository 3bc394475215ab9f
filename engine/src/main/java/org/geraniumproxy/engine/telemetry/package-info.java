/** Log lines of decisions, written by a thread of its own. */
package org.geraniumproxy.engine.telemetry;
