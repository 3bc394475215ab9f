package org.geraniumproxy.measure.stop;

import java.time.Instant;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** Collects the observations of a run from all threads. */
final class RunJournal {
    private final Queue<ClientRequest> requests = new ConcurrentLinkedQueue<>();
    private final Queue<DatabaseEvent> databaseEvents = new ConcurrentLinkedQueue<>();
    private final Queue<StopRecord> stops = new ConcurrentLinkedQueue<>();
    private final Queue<Instant> disturbances = new ConcurrentLinkedQueue<>();
    private final Queue<String> nodeFailures = new ConcurrentLinkedQueue<>();
    private final AtomicLong outOfRotation = new AtomicLong();

    void add(ClientRequest request) {
        requests.add(request);
    }

    void add(DatabaseEvent event) {
        databaseEvents.add(event);
    }

    void add(StopRecord stop) {
        stops.add(stop);
    }

    void addDisturbance(Instant time) {
        disturbances.add(time);
    }

    void addNodeFailure(String description) {
        nodeFailures.add(description);
    }

    void countOutOfRotation() {
        outOfRotation.incrementAndGet();
    }

    RunRecord snapshot() {
        return new RunRecord(
                List.copyOf(requests),
                List.copyOf(databaseEvents),
                List.copyOf(stops),
                List.copyOf(disturbances),
                List.copyOf(nodeFailures),
                outOfRotation.get());
    }
}
