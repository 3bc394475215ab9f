package org.geraniumproxy.measure.load;

import java.util.List;
import java.util.Optional;
import org.geraniumproxy.protocol.Answer;
import org.geraniumproxy.protocol.ExecuteReply;

/** Checks that an answer is whole and belongs to its request. */
final class AnswerCheck {
    private AnswerCheck() {}

    /** Checks the envelope of an answer: request numbers, end mark and row count. */
    static Optional<BrokenInvariant> ofEnvelope(long requestNumber, ExecuteReply reply) {
        Answer answer = reply.getOutcome().getAnswer();
        if (reply.getRequestNumber() != requestNumber || answer.getRequestNumber() != requestNumber) {
            return broken("request " + requestNumber + " got the answer of request " + answer.getRequestNumber());
        }
        if (!answer.getComplete() || answer.getRowCount() != answer.getRowsCount()) {
            return broken("request " + requestNumber + " got " + answer.getRowsCount() + " of " + answer.getRowCount()
                    + " rows");
        }
        return Optional.empty();
    }

    /** Checks that the rows are an answer to the operation. */
    static Optional<BrokenInvariant> ofRows(Operation operation, List<String> rows) {
        return switch (operation) {
            case Operation.PutNext put ->
                expect(rows.equals(List.of(Operation.value(put.key(), put.sequence()))), operation, rows);
            case Operation.AddOnce add -> ofSums(operation, 1, rows);
            case Operation.AddTogether add -> ofSums(operation, add.keys().size(), rows);
            case Operation.ReadOwn read -> expect(isValueOf(read.key(), rows), operation, rows);
            case Operation.CountKeys count ->
                expect(rows.size() == 1 && rows.getFirst().matches("[0-9]+"), operation, rows);
        };
    }

    private static boolean isValueOf(String key, List<String> rows) {
        return rows.isEmpty() || (rows.size() == 1 && rows.getFirst().startsWith(key + "="));
    }

    private static Optional<BrokenInvariant> ofSums(Operation operation, int count, List<String> rows) {
        if (rows.size() == count && rows.stream().allMatch(row -> row.matches("[2-9]|[1-9][0-9]+"))) {
            return Optional.of(new BrokenInvariant(
                    Guarantee.AT_MOST_ONCE, operation.statements().getFirst() + " found an earlier run of itself"));
        }
        return expect(rows.size() == count && rows.stream().allMatch(row -> row.equals("1")), operation, rows);
    }

    private static Optional<BrokenInvariant> expect(boolean matches, Operation operation, List<String> rows) {
        return matches ? Optional.empty() : broken(operation.statements().getFirst() + " was answered with " + rows);
    }

    private static Optional<BrokenInvariant> broken(String detail) {
        return Optional.of(new BrokenInvariant(Guarantee.OWN_ANSWER, detail));
    }
}
