/** Runs of the placement of reads on simulated time. */
package org.geraniumproxy.measure.reads;
