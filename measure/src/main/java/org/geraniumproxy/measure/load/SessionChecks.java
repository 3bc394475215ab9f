package org.geraniumproxy.measure.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.protocol.NotRunReason;

/** Compares the results of each session with its own earlier requests. */
public final class SessionChecks {
    /** Writes of a session to one of its keys. */
    private static final class KeyState {
        private long lastAcknowledged;
        private long lastIssued;
        private final Set<Long> unknownOutcomes = new HashSet<>();

        /** A write with an unknown outcome can take effect at any time, even after a later write. */
        boolean isPossible(long sequence) {
            return sequence <= lastIssued && (sequence >= lastAcknowledged || unknownOutcomes.contains(sequence));
        }
    }

    private SessionChecks() {}

    /**
     * Checks that every session read its own writes and collects the violations recorded with the requests.
     *
     * @param records the records of a run; those of one session must be in request order
     * @return the violations, empty if there are none
     */
    public static List<GuaranteeViolation> check(List<RequestRecord> records) {
        Map<String, List<RequestRecord>> sessions = new LinkedHashMap<>();
        for (RequestRecord request : records) {
            sessions.computeIfAbsent(request.session(), session -> new ArrayList<>())
                    .add(request);
        }
        List<GuaranteeViolation> violations = new ArrayList<>();
        records.forEach(request -> violations.addAll(request.violations()));
        sessions.values().forEach(session -> checkSession(session, violations));
        return violations;
    }

    private static void checkSession(List<RequestRecord> session, List<GuaranteeViolation> violations) {
        Map<String, KeyState> keys = new HashMap<>();
        for (RequestRecord request : session) {
            switch (request.operation()) {
                case Operation.PutNext put -> recordWrite(put, request, keys);
                case Operation.ReadOwn read -> checkRead(read, request, keys, violations);
                case Operation.AddOnce add -> {}
                case Operation.AddInTransaction add -> {}
                case Operation.CountKeys count -> {}
            }
            if (request.result() instanceof CallResult.NotRun notRun && notRun.reason() == NotRunReason.WRITE_LOST) {
                violations.add(new GuaranteeViolation(
                        Guarantee.ACKNOWLEDGED_WRITE_KEPT,
                        "session " + request.session() + " received the report of a lost write"));
            }
        }
    }

    private static void recordWrite(Operation.PutNext put, RequestRecord request, Map<String, KeyState> keys) {
        KeyState key = keys.computeIfAbsent(put.key(), name -> new KeyState());
        key.lastIssued = Math.max(key.lastIssued, put.sequence());
        if (request.hadUnknownOutcome()) {
            key.unknownOutcomes.add(put.sequence());
        }
        if (request.isAnswered()) {
            key.lastAcknowledged = Math.max(key.lastAcknowledged, put.sequence());
        }
    }

    private static void checkRead(
            Operation.ReadOwn read,
            RequestRecord request,
            Map<String, KeyState> keys,
            List<GuaranteeViolation> violations) {
        if (!(request.result() instanceof CallResult.Answered answered)
                || !request.violations().isEmpty()) {
            return;
        }
        KeyState key = keys.computeIfAbsent(read.key(), name -> new KeyState());
        long sequence =
                answered.rows().isEmpty() ? 0 : sequenceOf(answered.rows().getFirst());
        if (!key.isPossible(sequence)) {
            violations.add(new GuaranteeViolation(
                    Guarantee.READ_YOUR_WRITES,
                    "session " + request.session() + " read write " + sequence + " of " + read.key() + " from "
                            + answered.servedBy() + " after write " + key.lastAcknowledged + " was acknowledged"));
        }
    }

    private static long sequenceOf(String value) {
        return Long.parseLong(value.substring(value.lastIndexOf('=') + 1));
    }
}
