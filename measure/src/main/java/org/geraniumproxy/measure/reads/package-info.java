/** Measurement of the read placement on simulated time. */
package org.geraniumproxy.measure.reads;
