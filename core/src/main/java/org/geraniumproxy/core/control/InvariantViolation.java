package org.geraniumproxy.core.control;

/** Thrown when the program reaches a state that violates one of its invariants. */
public final class InvariantViolation extends IllegalStateException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param message violated invariant
     */
    public InvariantViolation(String message) {
        super(message);
    }

    /**
     * Checks an invariant.
     *
     * @param holds whether the invariant holds
     * @param message invariant, with the place of the violation
     * @throws InvariantViolation if it does not hold
     */
    public static void check(boolean holds, String message) {
        if (!holds) {
            throw new InvariantViolation(message);
        }
    }
}
