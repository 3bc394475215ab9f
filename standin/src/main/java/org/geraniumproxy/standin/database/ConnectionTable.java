package org.geraniumproxy.standin.database;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The open connections of a database, including those that are still opening. Confined to the executor. */
final class ConnectionTable {
    private final Set<ConnectionHandler> handlers = new LinkedHashSet<>();
    private long openedCount;

    long nextConnectionNumber() {
        openedCount++;
        return openedCount;
    }

    void add(ConnectionHandler handler) {
        handlers.add(handler);
    }

    boolean remove(ConnectionHandler handler) {
        return handlers.remove(handler);
    }

    void abortTransactions() {
        handlers.forEach(ConnectionHandler::abortTransaction);
    }

    void failAll() {
        List.copyOf(handlers).forEach(ConnectionHandler::fail);
    }
}
