/** Runs of real node processes with seeded promotions, and the check that these lose no acknowledged commit. */
package org.geraniumproxy.measure.promotion;
