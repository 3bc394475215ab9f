package org.geraniumproxy.core.control;

/** A guarantee of the system was found broken. It is a fault of the program, not of its environment. */
public final class InvariantViolation extends IllegalStateException {
    private static final long serialVersionUID = 1L;

    private InvariantViolation(String message) {
        super(message);
    }

    /**
     * Checks an invariant.
     *
     * @param holds whether it holds
     * @param invariant the invariant in words
     * @throws InvariantViolation if it does not hold
     */
    public static void require(boolean holds, String invariant) {
        if (!holds) {
            throw new InvariantViolation("invariant violated: " + invariant);
        }
    }
}
