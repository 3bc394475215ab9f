package org.geraniumproxy.proxy.telemetry;

import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.geraniumproxy.core.admission.InFlightState;

/**
 * Counts the requests and transactions that have not ended, so that a planned stop can wait for the last one.
 *
 * <p>Requests that other VMs forward are accepted while draining too, because those VMs may not know of the stop yet.
 * One that might outlast the drain is refused, and the other VM sends it to the next coordinator.
 */
public final class InFlightRequests {
    private final CompletableFuture<Void> closed = new CompletableFuture<>();
    private final Set<Ticket> open = new LinkedHashSet<>();
    private InFlightState state = InFlightState.IDLE;

    /** A counted request. */
    public final class Ticket implements AutoCloseable {
        private final long requestNumber;
        private final CompletableFuture<Void> ended = new CompletableFuture<>();

        private Ticket(long requestNumber) {
            this.requestNumber = requestNumber;
        }

        /** Notes that the request has ended; further calls do nothing. */
        @Override
        public void close() {
            leave(this);
        }

        /**
         * Tells when the request has to be answered at once, because the drain is over.
         *
         * @return completes on the thread that ends the requests; never completes if the request ends before
         */
        public CompletableFuture<Void> ended() {
            return ended.copy();
        }

        /**
         * Tells whether the request has to be answered at once.
         *
         * @return true if the drain ended before the request
         */
        public boolean isEnded() {
            return ended.isDone();
        }

        /**
         * Bounds the wait for work by the end of the drain.
         *
         * @param <T> type of the result
         * @param work the work, which goes on after the end of the drain
         * @param outcome gives the result if the drain ends first
         * @return completes with the first of the two results
         */
        public <T> CompletableFuture<T> orWhenEnded(CompletableFuture<T> work, Supplier<T> outcome) {
            CompletableFuture<T> result = work.copy();
            var unused = ended.thenRun(() -> {
                if (!result.isDone()) {
                    result.complete(outcome.get());
                }
            });
            return result;
        }
    }

    /**
     * Accepts a request of a caller.
     *
     * @param requestNumber number that the caller gave the request
     * @return its ticket, or empty while draining
     */
    public synchronized Optional<Ticket> enter(long requestNumber) {
        return state.enter().map(entered -> newTicket(entered, requestNumber));
    }

    /**
     * Accepts a request for a group of this VM, which another VM may have forwarded.
     *
     * @param requestNumber number that the caller gave the request
     * @param deadline time on this VM's clock at which the caller stops waiting
     * @return its ticket, or empty if it might outlast the drain or the requests are closed
     */
    public synchronized Optional<Ticket> enterForwarded(long requestNumber, Instant deadline) {
        return state.enterForwarded(deadline).map(entered -> newTicket(entered, requestNumber));
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
     * @return completes when every request is refused; when this follows from {@link #endAll()}, some may be in flight
     */
    public CompletableFuture<Void> closeWhenIdle() {
        synchronized (this) {
            state = state.closing();
        }
        completeIfClosed();
        return closed.copy();
    }

    /**
     * Refuses every request from now on and has those in flight answered at once.
     *
     * @return numbers of the requests in flight, each once
     */
    public List<Long> endAll() {
        List<Ticket> ending;
        synchronized (this) {
            state = state.closed();
            ending = List.copyOf(open);
        }
        ending.forEach(ticket -> ticket.ended.complete(null));
        completeIfClosed();
        return ending.stream().map(ticket -> ticket.requestNumber).distinct().toList();
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

    private Ticket newTicket(InFlightState entered, long requestNumber) {
        state = entered;
        Ticket ticket = new Ticket(requestNumber);
        open.add(ticket);
        return ticket;
    }

    private void leave(Ticket ticket) {
        synchronized (this) {
            if (open.remove(ticket)) {
                state = state.left();
            }
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
