/** Scheduler on simulated time, and models of the two deployments. */
package org.geraniumproxy.measure.simulation;
