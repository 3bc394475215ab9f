package org.geraniumproxy.measure.load;

import java.time.Duration;
import org.geraniumproxy.protocol.ExecuteReply;
import org.geraniumproxy.protocol.NotRun;

/** Converts replies of a proxy to results. */
final class CallResultReader {
    private CallResultReader() {}

    static CallResult read(ExecuteReply reply) {
        return switch (reply.getOutcome().getKindCase()) {
            case ANSWER ->
                new CallResult.Answered(
                        reply.getOutcome().getAnswer().getRowsList(), reply.getServedBy(), reply.getServedByReplica());
            case NOT_RUN -> notRun(reply.getOutcome().getNotRun());
            case UNKNOWN ->
                new CallResult.Unknown(reply.getOutcome().getUnknown().getDetail());
            case KIND_NOT_SET -> new CallResult.Unknown("reply without outcome");
        };
    }

    private static CallResult notRun(NotRun notRun) {
        return new CallResult.NotRun(
                notRun.getReason(), notRun.getDetail(), Duration.ofMillis(notRun.getRetryAfterMillis()));
    }
}
