package org.geraniumproxy.measure.stop;

import java.time.Instant;
import java.util.List;

/**
 * What clients, databases and the supervision of the nodes saw in a run.
 *
 * @param requests requests of clients
 * @param databaseEvents steps of statements at databases
 * @param stops planned stops
 * @param disturbances times of SIGHUP, repeated SIGTERM and configuration changes
 * @param nodeFailures nodes that weren't ready in time or ended without a signal, one description each
 * @param outOfRotation new connections that the balancer sent to nodes that weren't in rotation
 */
record RunRecord(
        List<ClientRequest> requests,
        List<DatabaseEvent> databaseEvents,
        List<StopRecord> stops,
        List<Instant> disturbances,
        List<String> nodeFailures,
        long outOfRotation) {
    RunRecord {
        requests = List.copyOf(requests);
        databaseEvents = List.copyOf(databaseEvents);
        stops = List.copyOf(stops);
        disturbances = List.copyOf(disturbances);
        nodeFailures = List.copyOf(nodeFailures);
    }

    /** Returns whether no other stop, signal or configuration change happened during a stop. */
    boolean isCalm(StopRecord stop) {
        return stops.stream().noneMatch(other -> !other.equals(stop) && other.overlaps(stop))
                && disturbances.stream().noneMatch(stop::includes);
    }
}
