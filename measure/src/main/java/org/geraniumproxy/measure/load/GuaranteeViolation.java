package org.geraniumproxy.measure.load;

/**
 * A guarantee that did not hold in a run.
 *
 * @param guarantee the guarantee
 * @param detail what was seen
 */
public record GuaranteeViolation(Guarantee guarantee, String detail) {
    @Override
    public String toString() {
        return "guarantee " + guarantee.number() + " (" + guarantee + "): " + detail;
    }
}
