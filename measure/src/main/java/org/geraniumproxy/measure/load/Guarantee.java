package org.geraniumproxy.measure.load;

/** Guarantees that callers and backend servers can check, with their numbers on the design page. */
public enum Guarantee {
    /** A session reads its own writes. */
    READ_YOUR_WRITES(1),
    /** No acknowledged write is lost. */
    ACKNOWLEDGED_WRITE_KEPT(2),
    /** Statements of different transactions are never mixed on one connection. */
    TRANSACTIONS_APART(3),
    /** No backend server sees a key. */
    NO_KEY_AT_BACKEND(5),
    /** No customer exceeds its rate and burst. */
    RATE_KEPT(7),
    /** A caller gets the whole answer to its own request. */
    OWN_ANSWER(8),
    /** A refusal that says "not run" is true. */
    NOT_RUN_IS_TRUE(9),
    /** A request that may not be repeated runs at most once. */
    AT_MOST_ONCE(10);

    private final int number;

    Guarantee(int number) {
        this.number = number;
    }

    /**
     * Returns the number on the design page.
     *
     * @return the number
     */
    public int number() {
        return number;
    }
}
