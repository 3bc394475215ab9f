package org.geraniumproxy.standin.database;

import java.util.ArrayList;
import java.util.List;
import org.geraniumproxy.protocol.HistoryReply;
import org.geraniumproxy.protocol.ReceivedStatement;

/** What a database received and the most connections and slots that were in use at once. Confined to one thread. */
final class StatementRecord {
    private final List<ReceivedStatement> received = new ArrayList<>();
    private int connections;
    private int mostConnections;
    private int slots;
    private int mostSlots;

    void receive(ReceivedStatement statement) {
        received.add(statement);
    }

    void connectionOpened() {
        connections++;
        mostConnections = Math.max(mostConnections, connections);
    }

    void connectionClosed() {
        connections--;
    }

    int connections() {
        return connections;
    }

    void slotTaken() {
        slots++;
        mostSlots = Math.max(mostSlots, slots);
    }

    void slotReleased() {
        slots--;
    }

    int slots() {
        return slots;
    }

    HistoryReply history(DatabaseLog log) {
        return HistoryReply.newBuilder()
                .addAllAppliedWriteIdentifiers(log.entries().stream()
                        .map(DatabaseLog.Entry::writeIdentifier)
                        .toList())
                .addAllReceived(received)
                .setMostConnections(mostConnections)
                .setMostSlots(mostSlots)
                .build();
    }
}
