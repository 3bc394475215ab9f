package org.geraniumproxy.proxy.telemetry;

import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.geraniumproxy.core.admission.InFlightState;

/**
 * Counts the requests and transactions that have not ended, so that a planned stop can wait for the last one.
 *
 * <p>Requests that other VMs forward are accepted while draining too, because those VMs may not know of the stop yet.
 * One that might outlast the drain is refused, and the other VM sends it to the next coordinator.
 */
public final class InFlightRequests {
    private final CompletableFuture<Void> closed = new CompletableFuture<>();
    private InFlightState state = InFlightState.IDLE;

    /** A counted request. */
    @FunctionalInterface
    public interface Ticket extends AutoCloseable {
        /** Notes that the request has ended; further calls do nothing. */
        @Override
        void close();
    }

    /**
     * Accepts a request of a caller.
     *
     * @return its ticket, or empty while draining
     */
    public synchronized Optional<Ticket> enter() {
        return state.enter().map(this::newTicket);
    }

    /**
     * Accepts a request for a group of this VM, which another VM may have forwarded.
     *
     * @param deadline time on this VM's clock at which the caller stops waiting
     * @return its ticket, or empty if it might outlast the drain or the requests are closed
     */
    public synchronized Optional<Ticket> enterForwarded(Instant deadline) {
        return state.enterForwarded(deadline).map(this::newTicket);
    }

    /**
     * Stops accepting callers' requests. Has no effect if they are already refused.
     *
     * @param end time on this VM's clock at which requests in flight are ended
     */
    public synchronized void drain(Instant end) {
        state = state.draining(end);
    }

    /**
     * Refuses every request from the moment at which none is in flight. Call it once other VMs know of the stop.
     *
     * @return completes when every request is refused; when this follows from {@link #close()}, some may be in flight
     */
    public CompletableFuture<Void> closeWhenIdle() {
        synchronized (this) {
            state = state.closing();
        }
        completeIfClosed();
        return closed.copy();
    }

    /** Refuses every request from now on, while some may be in flight. */
    public void close() {
        synchronized (this) {
            state = state.closed();
        }
        completeIfClosed();
    }

    /**
     * Tells whether callers' requests are refused.
     *
     * @return true after {@link #drain}
     */
    public synchronized boolean isDraining() {
        return state.isDraining();
    }

    /**
     * Returns the number of requests that have not ended.
     *
     * @return the number
     */
    public synchronized int count() {
        return state.count();
    }

    private Ticket newTicket(InFlightState entered) {
        state = entered;
        AtomicBoolean open = new AtomicBoolean(true);
        return () -> {
            if (open.compareAndSet(true, false)) {
                leave();
            }
        };
    }

    private void leave() {
        synchronized (this) {
            state = state.left();
        }
        completeIfClosed();
    }

    private synchronized boolean isClosed() {
        return state.isClosed();
    }

    private void completeIfClosed() {
        if (isClosed()) {
            closed.complete(null);
        }
    }
}
