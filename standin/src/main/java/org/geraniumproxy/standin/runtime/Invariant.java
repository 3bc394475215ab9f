package org.geraniumproxy.standin.runtime;

/** Checks of what must always hold inside a stand-in. */
public final class Invariant {
    private Invariant() {}

    /**
     * Stops the present step if a condition does not hold.
     *
     * @param holds the condition
     * @param description what must hold
     * @throws InvariantViolation if it does not hold
     */
    public static void check(boolean holds, String description) {
        if (!holds) {
            throw new InvariantViolation(description);
        }
    }

    /** A condition that must always hold does not hold: a fault of the stand-in itself. */
    public static final class InvariantViolation extends IllegalStateException {
        private static final long serialVersionUID = 1L;

        InvariantViolation(String description) {
            super("invariant broken: " + description);
        }
    }
}
