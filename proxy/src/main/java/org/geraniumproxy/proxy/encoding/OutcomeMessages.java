package org.geraniumproxy.proxy.encoding;

import java.time.Duration;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.protocol.Answer;
import org.geraniumproxy.protocol.NotRun;
import org.geraniumproxy.protocol.OutcomeUnknown;

/**
 * Encodes and decodes outcomes. A message that is not a complete answer to the expected request is decoded as an
 * unknown outcome.
 */
public final class OutcomeMessages {
    private OutcomeMessages() {}

    /**
     * Encodes an outcome.
     *
     * @param requestNumber number of the request, included in an answer so that the receiver can match it
     * @param outcome how the request ended
     * @return the outcome as a message
     */
    public static org.geraniumproxy.protocol.Outcome encode(long requestNumber, Outcome outcome) {
        org.geraniumproxy.protocol.Outcome.Builder builder = org.geraniumproxy.protocol.Outcome.newBuilder();
        return switch (outcome) {
            case Outcome.Answered answered ->
                builder.setAnswer(Answer.newBuilder()
                                .setRequestNumber(requestNumber)
                                .addAllRows(answered.rows())
                                .setRowCount(answered.rows().size())
                                .setComplete(true))
                        .build();
            case Outcome.NotRun notRun ->
                builder.setNotRun(NotRun.newBuilder()
                                .setReason(org.geraniumproxy.protocol.NotRunReason.valueOf(
                                        notRun.reason().name()))
                                .setDetail(notRun.detail())
                                .setRetryAfterMillis(notRun.retryAfter().toMillis()))
                        .build();
            case Outcome.Unknown unknown ->
                builder.setUnknown(OutcomeUnknown.newBuilder().setDetail(unknown.detail()))
                        .build();
        };
    }

    /**
     * Decodes an outcome.
     *
     * @param requestNumber number of the request that was sent
     * @param message the received message
     * @return the outcome, unknown if the message is incomplete or answers another request
     */
    public static Outcome decode(long requestNumber, org.geraniumproxy.protocol.Outcome message) {
        return switch (message.getKindCase()) {
            case ANSWER -> decodeAnswer(requestNumber, message.getAnswer());
            case NOT_RUN -> decodeNotRun(message.getNotRun());
            case UNKNOWN -> Outcome.unknown(message.getUnknown().getDetail());
            case KIND_NOT_SET -> Outcome.unknown("the reply has no outcome");
        };
    }

    private static Outcome decodeAnswer(long requestNumber, Answer answer) {
        if (answer.getRequestNumber() != requestNumber) {
            return Outcome.unknown("the reply answers request " + answer.getRequestNumber() + ", but request "
                    + requestNumber + " was sent");
        }
        if (!answer.getComplete() || answer.getRowCount() != answer.getRowsCount()) {
            return Outcome.unknown("the answer is not complete");
        }
        return Outcome.answered(answer.getRowsList());
    }

    private static Outcome decodeNotRun(NotRun notRun) {
        return switch (notRun.getReason()) {
            // A newer version may send a reason that this one does not know, so the request may have run.
            case NOT_RUN_REASON_UNSPECIFIED, UNRECOGNIZED -> Outcome.unknown("the refusal has no known reason");
            default ->
                Outcome.notRun(
                        NotRunReason.valueOf(notRun.getReason().name()),
                        notRun.getDetail(),
                        Duration.ofMillis(notRun.getRetryAfterMillis()));
        };
    }
}
