package org.geraniumproxy.measure.load;

/**
 * What a customer may send.
 *
 * @param ratePerSecond requests per second over all VMs
 * @param burst requests at once after a pause
 */
public record Allowance(double ratePerSecond, int burst) {}
