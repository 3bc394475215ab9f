/** Measurement of the rate limit on simulated time over simulated links. */
package org.geraniumproxy.measure.limit;
