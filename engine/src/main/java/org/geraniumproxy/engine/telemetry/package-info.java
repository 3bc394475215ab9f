/** The decision log and the metrics of a node. */
package org.geraniumproxy.engine.telemetry;
