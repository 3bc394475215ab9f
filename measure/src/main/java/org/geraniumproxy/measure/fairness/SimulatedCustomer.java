package org.geraniumproxy.measure.fairness;

import org.geraniumproxy.core.identity.CustomerName;

/**
 * Customer with a Poisson arrival process.
 *
 * @param name name of the customer
 * @param ratePerSecond mean arrival rate in requests per second
 * @param weight weight in the fair queue
 */
record SimulatedCustomer(CustomerName name, double ratePerSecond, int weight) {}
