package org.geraniumproxy.proxy.telemetry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.geraniumproxy.core.control.InvariantViolation;

/**
 * Counts the requests and transactions that have not ended, so that a planned stop can wait for the last one.
 *
 * <p>Requests that other VMs forward are taken in while draining too: they were admitted elsewhere, and refusing them
 * before the other VMs know of the stop would only send them round again.
 */
public final class InFlightRequests {
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private int count;
    private boolean draining;

    /** A counted request. */
    @FunctionalInterface
    public interface Ticket extends AutoCloseable {
        /** Notes that the request has ended; further calls do nothing. */
        @Override
        void close();
    }

    /**
     * Takes in a request of a caller.
     *
     * @return its ticket, or empty while draining
     */
    public synchronized Optional<Ticket> enter() {
        return draining ? Optional.empty() : Optional.of(newTicket());
    }

    /**
     * Takes in a request that another VM forwarded.
     *
     * @return its ticket
     */
    public synchronized Ticket enterForwarded() {
        return newTicket();
    }

    /**
     * Stops taking in callers' requests.
     *
     * @return completes when no request is left
     */
    public CompletableFuture<Void> drain() {
        boolean idle;
        synchronized (this) {
            draining = true;
            idle = count == 0;
        }
        completeIf(idle);
        return drained.copy();
    }

    /**
     * Tells whether callers' requests are refused.
     *
     * @return true after {@link #drain}
     */
    public synchronized boolean isDraining() {
        return draining;
    }

    /**
     * Returns the number of requests that have not ended.
     *
     * @return the number
     */
    public synchronized int count() {
        return count;
    }

    private Ticket newTicket() {
        count++;
        AtomicBoolean open = new AtomicBoolean(true);
        return () -> {
            if (open.compareAndSet(true, false)) {
                leave();
            }
        };
    }

    private void leave() {
        boolean last;
        synchronized (this) {
            InvariantViolation.check(count > 0, "a request ended that was not in flight");
            count--;
            last = draining && count == 0;
        }
        completeIf(last);
    }

    private void completeIf(boolean condition) {
        if (condition) {
            drained.complete(null);
        }
    }
}
