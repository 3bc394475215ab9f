/** Measurement of the fairness of the slot queue on simulated time. */
package org.geraniumproxy.measure.fairness;
