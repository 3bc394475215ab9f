package org.geraniumproxy.measure.load;

import java.time.Duration;
import java.util.List;
import org.geraniumproxy.protocol.NotRunReason;

/** How a call ended for its caller. */
public sealed interface CallResult {
    /**
     * The call was answered.
     *
     * @param rows the rows
     * @param servedBy the backend server
     * @param byReplica whether it was a replica
     */
    record Answered(List<String> rows, String servedBy, boolean byReplica) implements CallResult {
        /** Copies the rows. */
        public Answered {
            rows = List.copyOf(rows);
        }
    }

    /**
     * The proxy says that the call was not run.
     *
     * @param reason why
     * @param detail more about it
     * @param retryAfter pause that the proxy asks for, zero for none
     */
    record NotRun(NotRunReason reason, String detail, Duration retryAfter) implements CallResult {}

    /**
     * Nobody knows whether the call ran.
     *
     * @param detail why
     */
    record Unknown(String detail) implements CallResult {}
}
