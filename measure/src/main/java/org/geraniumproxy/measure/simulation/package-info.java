/** Simulated time and the environments of the two deployments. */
package org.geraniumproxy.measure.simulation;
