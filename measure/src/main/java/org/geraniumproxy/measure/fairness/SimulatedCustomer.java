package org.geraniumproxy.measure.fairness;

import org.geraniumproxy.core.identity.CustomerName;

/**
 * A customer of a run.
 *
 * @param name its name
 * @param ratePerSecond requests per second that it sends
 * @param weight its weight in the queue
 */
record SimulatedCustomer(CustomerName name, double ratePerSecond, int weight) {}
