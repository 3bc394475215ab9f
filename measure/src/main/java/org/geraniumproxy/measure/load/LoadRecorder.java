package org.geraniumproxy.measure.load;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Collects the records of all sessions of a run. Thread-safe. */
public final class LoadRecorder {
    private final Queue<RequestRecord> records = new ConcurrentLinkedQueue<>();

    /**
     * Adds the record of a completed request.
     *
     * @param request record to add
     */
    public void add(RequestRecord request) {
        records.add(request);
    }

    /**
     * Returns the records collected so far; those of one session are in request order.
     *
     * @return snapshot of the records
     */
    public List<RequestRecord> records() {
        return List.copyOf(records);
    }
}
