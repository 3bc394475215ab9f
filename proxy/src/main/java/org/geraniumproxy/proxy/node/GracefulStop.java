package org.geraniumproxy.proxy.node;

import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.geraniumproxy.proxy.telemetry.InFlightRequests;
import org.geraniumproxy.proxy.traffic.Delay;
import org.jboss.logging.Logger;

/** Waits at a planned stop until the node refuses every request and none is in flight, or the drain timeout is over. */
final class GracefulStop {
    /**
     * Time between the announcement of leaving and the end of the peer server. Peers learn of it with their next view
     * exchange, every 500 ms; until then they may still forward requests to this node.
     */
    static final Duration ANNOUNCEMENT_TIME = Duration.ofMillis(1500);

    /** Longest wait for the roster; two changes of two store calls each, which have a timeout of 1 s. */
    static final Duration LEAVE_TIMEOUT = Duration.ofSeconds(4);

    /** Number of requests that a log line names. */
    private static final int MAXIMUM_LOGGED_REQUESTS = 20;

    private static final Logger log = Logger.getLogger(GracefulStop.class);

    private final InFlightRequests inFlight;
    private final Clock clock;
    private final Delay delay;
    private final Duration drainTimeout;

    /**
     * Creates the stop of a node.
     *
     * @param inFlight the requests in flight
     * @param clock this VM's clock
     * @param delay waits
     * @param drainTimeout maximum time for requests in flight to end
     */
    GracefulStop(InFlightRequests inFlight, Clock clock, Delay delay, Duration drainTimeout) {
        this.inFlight = inFlight;
        this.clock = clock;
        this.delay = delay;
        this.drainTimeout = drainTimeout;
    }

    /**
     * Refuses callers' requests at once and every request once other VMs know of the stop and none is in flight. At the
     * drain timeout the requests in flight are answered with what is known of them. The announcement time is always
     * waited for, also when the drain timeout is shorter.
     *
     * @param announcement tells other VMs that this VM is leaving
     * @return completes when every request is refused
     */
    CompletableFuture<Void> drain(Supplier<CompletableFuture<Void>> announcement) {
        inFlight.drain(clock.instant().plus(drainTimeout));
        CompletableFuture<Void> timeout = delay.after(drainTimeout);
        CompletableFuture<Void> announced = announcement.get().thenCompose(_ -> delay.after(ANNOUNCEMENT_TIME));
        CompletableFuture<Void> closed = announced.thenCompose(_ -> inFlight.closeWhenIdle());
        var unused = announced.thenCombine(timeout, (_, _) -> null).thenRun(this::endRequests);
        return closed;
    }

    /**
     * Leaves the roster. A failure is logged and doesn't keep the node from ending, because peers remove the VM later.
     *
     * @param departure removes this VM from the roster
     * @return completes when the VM has left, could not leave, or has waited for the store for long enough
     */
    CompletableFuture<Void> leave(Supplier<CompletableFuture<Void>> departure) {
        CompletableFuture<Void> left = departure.get().exceptionally(GracefulStop::reportLeaveFailure);
        CompletableFuture<Void> result = left.copy();
        var unused = delay.after(LEAVE_TIMEOUT).thenRun(() -> {
            if (result.complete(null)) {
                log.warnf("member: the roster was not changed in %s, peers will remove this VM", LEAVE_TIMEOUT);
            }
        });
        return result;
    }

    private static Void reportLeaveFailure(Throwable failure) {
        log.warnf("member: the roster could not be changed, peers will remove this VM: %s", failure.getMessage());
        return null;
    }

    private void endRequests() {
        List<Long> requests = inFlight.endAll();
        if (!requests.isEmpty()) {
            log.warnf(
                    "node: the drain timeout is over, requests ended=%d, first request numbers %s",
                    requests.size(),
                    requests.stream().limit(MAXIMUM_LOGGED_REQUESTS).toList());
        }
    }
}
