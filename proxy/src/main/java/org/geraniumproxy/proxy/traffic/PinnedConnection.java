package org.geraniumproxy.proxy.traffic;

import java.time.Instant;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.proxy.backend.BackendConnection;
import org.geraniumproxy.proxy.pool.SlotPool.SlotLease;
import org.geraniumproxy.proxy.telemetry.InFlightRequests;

/**
 * The connection of one transaction. It is given back exactly once and never while a step uses it, so that no other
 * transaction can get it before. The transaction counts as in flight until the step that ends it has its result.
 */
final class PinnedConnection {
    private final SlotLease lease;
    private final InFlightRequests.Ticket ticket;
    private State state = State.IDLE;
    private boolean slotHeld;

    private enum State {
        /** Between two steps. */
        IDLE,
        /** A step uses the connection. */
        IN_STEP,
        /** A step uses the connection and gives it back when it ends. */
        ENDING,
        /** The connection is no longer the transaction's. */
        GIVEN_BACK
    }

    /** Pins a connection whose slot was given back after the beginning of the transaction. */
    PinnedConnection(SlotLease lease, InFlightRequests.Ticket ticket) {
        this.lease = lease;
        this.ticket = ticket;
    }

    /** Returns the connection to the step that uses it. */
    synchronized BackendConnection connection() {
        InvariantViolation.check(
                state == State.IN_STEP || state == State.ENDING, "a connection was used outside its transaction");
        return lease.connection();
    }

    /** Starts a step; returns false if the transaction has ended. */
    synchronized boolean enterStep() {
        if (state != State.IDLE) {
            return false;
        }
        state = State.IN_STEP;
        return true;
    }

    /** Waits for a slot for the step. */
    boolean resumeSlot(Instant deadline) {
        boolean resumed = lease.resumeSlot(deadline).exceptionally(_ -> false).join();
        synchronized (this) {
            slotHeld = resumed;
        }
        return resumed;
    }

    /** Ends a step and gives its slot back, with the connection if the transaction has ended. */
    synchronized void leaveStep() {
        switch (state) {
            case IN_STEP -> {
                state = State.IDLE;
                if (slotHeld) {
                    slotHeld = false;
                    lease.yieldSlot();
                }
            }
            case ENDING -> {
                release();
                ticket.close();
            }
            // The step has already given the connection back, but its answer was owed until now.
            case GIVEN_BACK -> ticket.close();
            case IDLE -> {
                // No step was running.
            }
            default -> throw new InvariantViolation("unknown state of a pinned connection: " + state);
        }
    }

    /** Gives the connection back from within a step that ended the transaction. */
    synchronized void giveBack() {
        if (state == State.IN_STEP || state == State.ENDING) {
            release();
        }
    }

    /** Closes the connection, so that the database rolls the transaction back. */
    synchronized void discard() {
        switch (state) {
            case IDLE -> {
                lease.connection().close();
                release();
                ticket.close();
            }
            case IN_STEP -> {
                lease.connection().close();
                state = State.ENDING;
            }
            case ENDING, GIVEN_BACK -> {
                // The connection is closed or no longer the transaction's.
            }
            default -> throw new InvariantViolation("unknown state of a pinned connection: " + state);
        }
    }

    private void release() {
        InvariantViolation.check(state != State.GIVEN_BACK, "a pinned connection was given back twice");
        state = State.GIVEN_BACK;
        lease.release();
    }
}
