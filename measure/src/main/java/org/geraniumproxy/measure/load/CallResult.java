package org.geraniumproxy.measure.load;

import java.time.Duration;
import java.util.List;
import org.geraniumproxy.protocol.NotRunReason;

/** Result of a call from the caller's point of view. */
public sealed interface CallResult {
    /**
     * The call was answered.
     *
     * @param rows rows of the answer; for a transaction, those of all statements
     * @param servedBy name of the backend server
     * @param byReplica whether the backend server was a replica
     */
    record Answered(List<String> rows, String servedBy, boolean byReplica) implements CallResult {
        /** Makes an unmodifiable copy of the rows. */
        public Answered {
            rows = List.copyOf(rows);
        }
    }

    /**
     * The proxy reports that the call was not run.
     *
     * @param reason reason given by the proxy
     * @param detail further explanation, may be empty
     * @param retryAfter retry delay requested by the proxy, zero for none
     */
    record NotRun(NotRunReason reason, String detail, Duration retryAfter) implements CallResult {}

    /**
     * The call may or may not have run.
     *
     * @param detail why the outcome is unknown
     */
    record Unknown(String detail) implements CallResult {}
}
