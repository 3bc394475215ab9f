/** Failovers of real processes in real time, and the gaps that writers see. */
package org.geraniumproxy.measure.failover;
