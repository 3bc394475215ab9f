package org.geraniumproxy.measure.load;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Collects the records of all sessions of a run. Safe for use by many threads. */
public final class LoadRecorder {
    private final Queue<RequestRecord> records = new ConcurrentLinkedQueue<>();

    /**
     * Adds a record.
     *
     * @param request the record
     */
    public void add(RequestRecord request) {
        records.add(request);
    }

    /**
     * Returns the records so far; those of one session are in the order of its requests.
     *
     * @return the records
     */
    public List<RequestRecord> records() {
        return List.copyOf(records);
    }
}
