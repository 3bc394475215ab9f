package org.geraniumproxy.core.admission;

import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.control.InvariantViolation;

/**
 * Requests and transactions of a VM that have not ended, and which further ones it accepts. The state closes in the
 * same transition that finds no request in flight, so that no request is accepted after the decision to end.
 *
 * @param phase phase of the planned stop
 * @param count number of requests and transactions that have not ended
 */
public record InFlightState(Phase phase, int count) {
    /** State of a VM that is not being stopped and has no requests in flight. */
    public static final InFlightState IDLE = new InFlightState(new Phase.Open(), 0);

    /** Phase of the planned stop. */
    public sealed interface Phase {
        /** Requests are accepted from callers and from other VMs. */
        record Open() implements Phase {}

        /**
         * Other VMs may not know of the stop. Only their requests are accepted, if they can end in time.
         *
         * @param end time at which requests in flight are ended
         */
        record Draining(Instant end) implements Phase {}

        /**
         * Other VMs have had time to learn of the stop. Their requests are accepted as before until none is in flight.
         *
         * @param end time at which requests in flight are ended
         */
        record Closing(Instant end) implements Phase {}

        /** No request is accepted any more. */
        record Closed() implements Phase {}
    }

    /**
     * Validates the state.
     *
     * @throws InvariantViolation if the count is negative
     */
    public InFlightState {
        InvariantViolation.check(count >= 0, "a request ended that was not in flight");
    }

    /**
     * Accepts a request of a caller.
     *
     * @return the next state, or empty if the VM is being stopped
     */
    public Optional<InFlightState> enter() {
        return switch (phase) {
            case Phase.Open _ -> Optional.of(entered());
            case Phase.Draining _, Phase.Closing _, Phase.Closed _ -> Optional.empty();
        };
    }

    /**
     * Accepts a request for a group of this VM, which another VM may have forwarded.
     *
     * @param deadline time at which the caller stops waiting
     * @return the next state, or empty if the request might still be running when requests in flight are ended
     */
    public Optional<InFlightState> enterForwarded(Instant deadline) {
        return switch (phase) {
            case Phase.Open _ -> Optional.of(entered());
            case Phase.Draining draining -> enteredUntil(draining.end(), deadline);
            case Phase.Closing closing -> enteredUntil(closing.end(), deadline);
            case Phase.Closed _ -> Optional.empty();
        };
    }

    /**
     * Notes that a request has ended.
     *
     * @return the next state, which is closed if it was closing and this was the last request
     * @throws InvariantViolation if no request is in flight
     */
    public InFlightState left() {
        return new InFlightState(phase, count - 1).closedIfIdle();
    }

    /**
     * Stops accepting requests of callers. Has no effect if the VM is already being stopped.
     *
     * @param end time at which requests in flight are ended
     * @return the next state
     */
    public InFlightState draining(Instant end) {
        return phase instanceof Phase.Open ? new InFlightState(new Phase.Draining(end), count) : this;
    }

    /**
     * Closes as soon as no request is in flight. Has no effect unless draining.
     *
     * @return the next state, which is closed if no request is in flight
     */
    public InFlightState closing() {
        return phase instanceof Phase.Draining(Instant end)
                ? new InFlightState(new Phase.Closing(end), count).closedIfIdle()
                : this;
    }

    /**
     * Stops accepting requests while some may be in flight.
     *
     * @return the next state
     */
    public InFlightState closed() {
        return new InFlightState(new Phase.Closed(), count);
    }

    /**
     * Tells whether requests of callers are refused.
     *
     * @return true if the VM is being stopped
     */
    public boolean isDraining() {
        return !(phase instanceof Phase.Open);
    }

    /**
     * Tells whether every request is refused.
     *
     * @return true if closed
     */
    public boolean isClosed() {
        return phase instanceof Phase.Closed;
    }

    private InFlightState entered() {
        return new InFlightState(phase, count + 1);
    }

    private Optional<InFlightState> enteredUntil(Instant end, Instant deadline) {
        return deadline.isAfter(end) ? Optional.empty() : Optional.of(entered());
    }

    private InFlightState closedIfIdle() {
        return phase instanceof Phase.Closing && count == 0 ? closed() : this;
    }
}
