package org.geraniumproxy.proxy.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.geraniumproxy.core.identity.BackendServerName;

/** Expects that a request waits for a slot as long as the last ones did. */
final class ObservedWaits {
    /** Time for which a wait says something about the next one. Queues of a few slots are served within it. */
    private static final Duration VALIDITY = Duration.ofSeconds(1);

    /** Weight of the newest wait against the earlier ones, as one part in four. */
    private static final int SMOOTHING = 4;

    private final Map<BackendServerName, Observation> observations = new ConcurrentHashMap<>();

    private record Observation(Duration length, Instant at) {
        Observation followedBy(Observation next) {
            return next.at.isAfter(at.plus(VALIDITY))
                    ? next
                    : new Observation(length.plus(next.length.minus(length).dividedBy(SMOOTHING)), next.at);
        }
    }

    void note(BackendServerName server, Duration wait, Instant now) {
        observations.merge(server, new Observation(wait, now), Observation::followedBy);
    }

    /** Adds the observed waits to those that are known better. */
    Map<BackendServerName, Duration> with(Map<BackendServerName, Duration> known, Instant now) {
        Map<BackendServerName, Duration> waits = new HashMap<>();
        observations.forEach((server, observation) -> {
            if (!now.isAfter(observation.at().plus(VALIDITY))) {
                waits.put(server, observation.length());
            }
        });
        waits.putAll(known);
        return waits;
    }
}
