package org.geraniumproxy.measure.load;

/**
 * Rate limit of a customer.
 *
 * @param ratePerSecond requests per second, summed over all VMs
 * @param burst requests that may be sent at once after a period without requests
 */
public record Allowance(double ratePerSecond, int burst) {}
