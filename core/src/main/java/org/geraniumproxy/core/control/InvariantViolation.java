package org.geraniumproxy.core.control;

/** Error of a program that has reached a state which its own rules exclude. */
public final class InvariantViolation extends IllegalStateException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param message the broken invariant
     */
    public InvariantViolation(String message) {
        super(message);
    }

    /**
     * Checks an invariant.
     *
     * @param holds whether the invariant holds
     * @param message the invariant and where it broke
     * @throws InvariantViolation if it does not hold
     */
    public static void check(boolean holds, String message) {
        if (!holds) {
            throw new InvariantViolation(message);
        }
    }
}
