package org.geraniumproxy.standin.database;

import java.util.ArrayList;
import java.util.List;
import org.geraniumproxy.protocol.HistoryReply;
import org.geraniumproxy.protocol.ReceivedStatement;

/**
 * The statements that a database received, and the current and maximum numbers of open connections and used slots. Not
 * thread-safe.
 */
final class StatementHistory {
    private final List<ReceivedStatement> received = new ArrayList<>();
    private int openConnections;
    private int maximumConnections;
    private int usedSlots;
    private int maximumUsedSlots;

    void recordReceived(ReceivedStatement statement) {
        received.add(statement);
    }

    void connectionOpened() {
        openConnections++;
        maximumConnections = Math.max(maximumConnections, openConnections);
    }

    void connectionClosed() {
        openConnections--;
    }

    int openConnections() {
        return openConnections;
    }

    void slotTaken() {
        usedSlots++;
        maximumUsedSlots = Math.max(maximumUsedSlots, usedSlots);
    }

    void slotReleased() {
        usedSlots--;
    }

    int usedSlots() {
        return usedSlots;
    }

    HistoryReply history(DatabaseLog log) {
        return HistoryReply.newBuilder()
                .addAllAppliedWriteIdentifiers(log.entries().stream()
                        .map(DatabaseLog.Entry::writeIdentifier)
                        .toList())
                .addAllReceived(received)
                .setMostConnections(maximumConnections)
                .setMostSlots(maximumUsedSlots)
                .build();
    }
}
