package org.geraniumproxy.measure.load;

import java.util.List;
import java.util.Optional;
import org.geraniumproxy.protocol.Answer;
import org.geraniumproxy.protocol.ExecuteReply;

/** Checks that an answer is complete and belongs to its request. */
final class AnswerCheck {
    private AnswerCheck() {}

    /** Checks the request numbers, the completion flag and the row count of an answer. */
    static Optional<GuaranteeViolation> checkEnvelope(long requestNumber, ExecuteReply reply) {
        Answer answer = reply.getOutcome().getAnswer();
        if (reply.getRequestNumber() != requestNumber || answer.getRequestNumber() != requestNumber) {
            return wrongAnswer("request " + requestNumber + " got the answer of request " + answer.getRequestNumber());
        }
        if (!answer.getComplete() || answer.getRowCount() != answer.getRowsCount()) {
            return wrongAnswer("request " + requestNumber + " got " + answer.getRowsCount() + " of "
                    + answer.getRowCount() + " rows");
        }
        return Optional.empty();
    }

    /** Checks that the rows are a possible result of the operation. */
    static Optional<GuaranteeViolation> checkRows(Operation operation, List<String> rows) {
        return switch (operation) {
            case Operation.PutNext put ->
                checkMatches(rows.equals(List.of(Operation.value(put.key(), put.sequence()))), operation, rows);
            case Operation.AddOnce add -> checkSums(operation, 1, rows);
            case Operation.AddInTransaction add ->
                checkSums(operation, add.keys().size(), rows);
            case Operation.ReadOwn read -> checkMatches(isValueOf(read.key(), rows), operation, rows);
            case Operation.CountKeys count ->
                checkMatches(rows.size() == 1 && rows.getFirst().matches("[0-9]+"), operation, rows);
        };
    }

    private static boolean isValueOf(String key, List<String> rows) {
        return rows.isEmpty() || (rows.size() == 1 && rows.getFirst().startsWith(key + "="));
    }

    private static Optional<GuaranteeViolation> checkSums(Operation operation, int count, List<String> rows) {
        if (rows.size() == count && rows.stream().allMatch(row -> row.matches("[2-9]|[1-9][0-9]+"))) {
            return Optional.of(new GuaranteeViolation(
                    Guarantee.AT_MOST_ONCE, operation.statements().getFirst() + " has been applied before"));
        }
        return checkMatches(rows.size() == count && rows.stream().allMatch(row -> row.equals("1")), operation, rows);
    }

    private static Optional<GuaranteeViolation> checkMatches(boolean matches, Operation operation, List<String> rows) {
        return matches
                ? Optional.empty()
                : wrongAnswer(operation.statements().getFirst() + " was answered with " + rows);
    }

    private static Optional<GuaranteeViolation> wrongAnswer(String detail) {
        return Optional.of(new GuaranteeViolation(Guarantee.OWN_ANSWER, detail));
    }
}
