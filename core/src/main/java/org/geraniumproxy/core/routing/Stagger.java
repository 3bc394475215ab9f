package org.geraniumproxy.core.routing;

import java.time.Duration;

/**
 * Spreads over time what all VMs would otherwise do at the same moment. The delay follows from a hash of the names, so
 * a decision that uses it is repeatable.
 */
public final class Stagger {
    private static final int FRACTION_BITS = 20;

    private Stagger() {}

    /**
     * Returns the delay of a VM.
     *
     * @param occasion distinguishes the occasions, so that not always the same VMs come first
     * @param vm name of the VM
     * @param maximum longest delay
     * @return a duration from zero to the maximum
     */
    public static Duration of(String occasion, String vm, Duration maximum) {
        long fraction = RendezvousHash.score(occasion, vm) >>> (Long.SIZE - FRACTION_BITS);
        return maximum.multipliedBy(fraction).dividedBy(1L << FRACTION_BITS);
    }
}
