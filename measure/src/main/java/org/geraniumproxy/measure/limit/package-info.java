/** Runs of the rate limit on simulated time over fake links. */
package org.geraniumproxy.measure.limit;
