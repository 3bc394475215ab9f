package org.geraniumproxy.measure.load;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.geraniumproxy.protocol.NotRunReason;

/** Creates request records for tests. */
final class RequestRecords {
    private RequestRecords() {}

    static RequestRecord answered(Operation operation, String... rows) {
        return record(operation, new CallResult.Answered(List.of(rows), "ledger-1a", false), false);
    }

    static RequestRecord notRun(Operation operation) {
        return record(operation, new CallResult.NotRun(NotRunReason.NO_PRIMARY, "", Duration.ZERO), false);
    }

    static RequestRecord unknown(Operation operation) {
        return record(operation, new CallResult.Unknown("lost"), true);
    }

    static RequestRecord at(long startMillis, long endMillis) {
        CallResult result = new CallResult.Answered(List.of("1"), "ledger-1a", false);
        return new RequestRecord(
                "s",
                "troupes",
                "payments",
                new Operation.AddOnce("k" + startMillis),
                Instant.ofEpochMilli(startMillis),
                Instant.ofEpochMilli(endMillis),
                1,
                false,
                result,
                List.of());
    }

    private static RequestRecord record(Operation operation, CallResult result, boolean hadUnknownOutcome) {
        return new RequestRecord(
                "s",
                "troupes",
                "payments",
                operation,
                Instant.EPOCH,
                Instant.EPOCH.plusMillis(1),
                1,
                hadUnknownOutcome,
                result,
                List.of());
    }
}
