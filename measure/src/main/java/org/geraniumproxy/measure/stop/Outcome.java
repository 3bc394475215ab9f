package org.geraniumproxy.measure.stop;

import java.util.Set;

/** What a client saw after it had sent a request. */
sealed interface Outcome {
    /**
     * The result line and READY arrived.
     *
     * @param result the COMPLETE or ERROR line
     * @param state session state of the READY line
     */
    record Answered(String result, String state) implements Outcome {
        private static final Set<String> PROMISES =
                Set.of("BUSY", "ROLLEDBACK", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT");

        boolean isSuccess() {
            return result.startsWith("COMPLETE");
        }

        /** Returns whether the answer promises that nothing of the attempt is kept. */
        boolean isPromise() {
            return PROMISES.contains(errorCode());
        }

        /** Returns the code of an ERROR line, or an empty text. */
        String errorCode() {
            String[] words = result.split(" ", 3);
            return words[0].equals("ERROR") && words.length > 1 ? words[1] : "";
        }
    }

    /**
     * The connection ended before the answer was complete.
     *
     * @param detail how the connection ended, and what had arrived
     */
    record Cut(String detail) implements Outcome {}

    /** The client gave up while the connection was open. */
    record Silent() implements Outcome {}
}
