package org.geraniumproxy.core.balance;

import java.time.Duration;

/** Exponential decay of figures with their age. */
final class Decay {
    private Decay() {}

    /** Returns the part that is left after a time, from 1 at no time to 0. */
    static double factor(Duration time, Duration halfLife) {
        return Math.pow(0.5, (double) time.toNanos() / halfLife.toNanos());
    }
}
