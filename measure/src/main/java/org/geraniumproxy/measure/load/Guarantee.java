package org.geraniumproxy.measure.load;

/** Guarantees that can be checked by callers and backend servers, with their numbers on the design page. */
public enum Guarantee {
    /** A session reads its own writes. */
    READ_YOUR_WRITES(1),
    /** No acknowledged write is lost. */
    ACKNOWLEDGED_WRITE_KEPT(2),
    /** Statements of different transactions are never interleaved on one connection. */
    TRANSACTIONS_APART(3),
    /** No backend server receives the key of a customer. */
    NO_KEY_AT_BACKEND(5),
    /** No customer exceeds its rate and burst. */
    RATE_KEPT(7),
    /** A caller receives the complete answer to its own request. */
    OWN_ANSWER(8),
    /** A request that is reported as not run has not run. */
    NOT_RUN_IS_TRUE(9),
    /** A non-repeatable request runs at most once. */
    AT_MOST_ONCE(10);

    private final int number;

    Guarantee(int number) {
        this.number = number;
    }

    /**
     * Returns the number that identifies the guarantee on the design page.
     *
     * @return the number, from 1
     */
    public int number() {
        return number;
    }
}
