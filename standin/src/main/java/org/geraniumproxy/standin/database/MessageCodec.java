package org.geraniumproxy.standin.database;

import java.util.List;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;
import org.geraniumproxy.protocol.ConnectionReply;
import org.geraniumproxy.protocol.End;
import org.geraniumproxy.protocol.LogEntry;
import org.geraniumproxy.protocol.Refusal;
import org.geraniumproxy.protocol.Row;

/** Converts between protocol messages and the types of the database. */
final class MessageCodec {
    private MessageCodec() {}

    static List<org.geraniumproxy.protocol.TermStart> encodeTermStarts(List<TermStart> starts) {
        return starts.stream()
                .map(start -> org.geraniumproxy.protocol.TermStart.newBuilder()
                        .setTerm(start.term().number())
                        .setStartPosition(start.position())
                        .build())
                .toList();
    }

    static List<TermStart> decodeTermStarts(List<org.geraniumproxy.protocol.TermStart> starts) {
        return starts.stream()
                .map(start -> new TermStart(Term.of(start.getTerm()), start.getStartPosition()))
                .toList();
    }

    static List<LogEntry> encodeEntries(List<DatabaseLog.Entry> entries) {
        return entries.stream()
                .map(entry -> LogEntry.newBuilder()
                        .setTerm(entry.term().number())
                        .setPosition(entry.position())
                        .setKey(entry.key())
                        .setValue(entry.value())
                        .setWriteIdentifier(entry.writeIdentifier())
                        .build())
                .toList();
    }

    static List<DatabaseLog.Entry> decodeEntries(List<LogEntry> entries) {
        return entries.stream()
                .map(entry -> new DatabaseLog.Entry(
                        Term.of(entry.getTerm()),
                        entry.getPosition(),
                        entry.getKey(),
                        entry.getValue(),
                        entry.getWriteIdentifier()))
                .toList();
    }

    static ConnectionReply row(long requestNumber, String value) {
        return ConnectionReply.newBuilder()
                .setRequestNumber(requestNumber)
                .setRow(Row.newBuilder().setValue(value))
                .build();
    }

    static ConnectionReply end(long requestNumber, int rowCount, LogPosition position, boolean transactionOpen) {
        return ConnectionReply.newBuilder()
                .setRequestNumber(requestNumber)
                .setEnd(End.newBuilder()
                        .setRowCount(rowCount)
                        .setTerm(position.term().number())
                        .setPosition(position.position())
                        .setTransactionOpen(transactionOpen))
                .build();
    }

    static ConnectionReply refusal(long requestNumber, String reason, Term fencedTerm, boolean transactionOpen) {
        return ConnectionReply.newBuilder()
                .setRequestNumber(requestNumber)
                .setRefusal(Refusal.newBuilder()
                        .setReason(reason)
                        .setFencedTerm(fencedTerm.number())
                        .setTransactionOpen(transactionOpen))
                .build();
    }
}
