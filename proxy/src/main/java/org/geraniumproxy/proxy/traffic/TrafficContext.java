package org.geraniumproxy.proxy.traffic;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.ExecutorService;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.proxy.control.SnapshotSource;
import org.geraniumproxy.proxy.telemetry.InFlightRequests;
import org.geraniumproxy.proxy.telemetry.Tracing;
import org.geraniumproxy.proxy.telemetry.TrafficMetrics;

/**
 * What every part of the traffic needs.
 *
 * @param snapshots gives the control state
 * @param clock gives the present moment
 * @param delay waits
 * @param executor runs requests on virtual threads, each of which may block
 * @param tracing records spans
 * @param metrics counts outcomes
 * @param inFlight counts the requests that have not ended
 */
public record TrafficContext(
        SnapshotSource snapshots,
        Clock clock,
        Delay delay,
        ExecutorService executor,
        Tracing tracing,
        TrafficMetrics metrics,
        InFlightRequests inFlight) {
    /** Makes the executor carry the trace of the submitting thread. */
    public TrafficContext {
        executor = Tracing.carrying(executor);
    }

    ControlSnapshot snapshot() {
        return snapshots.snapshot();
    }

    Instant now() {
        return clock.instant();
    }

    Duration timeUntil(Instant moment) {
        return Duration.between(clock.instant(), moment);
    }

    void pause(Duration duration) {
        delay.after(duration).join();
    }
}
