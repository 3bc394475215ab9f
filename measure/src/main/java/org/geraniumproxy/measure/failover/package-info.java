/** Measurement of failovers of real processes in real time. */
package org.geraniumproxy.measure.failover;
