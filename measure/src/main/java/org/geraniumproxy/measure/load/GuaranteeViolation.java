package org.geraniumproxy.measure.load;

/**
 * Observed violation of a guarantee.
 *
 * @param guarantee the violated guarantee
 * @param detail the observation that shows the violation
 */
public record GuaranteeViolation(Guarantee guarantee, String detail) {
    @Override
    public String toString() {
        return "guarantee " + guarantee.number() + " (" + guarantee + "): " + detail;
    }
}
