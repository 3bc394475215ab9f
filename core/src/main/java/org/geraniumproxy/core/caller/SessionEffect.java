package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;

/** An action that the adapter carries out for a session. */
public sealed interface SessionEffect {
    /** Accepts the caller's connection. */
    record Accept() implements SessionEffect {}

    /**
     * Refuses the caller's connection and closes it.
     *
     * @param failure the reason that is sent to the caller
     */
    record Reject(StatementResult.Failed failure) implements SessionEffect {}

    /**
     * Answers the statement in progress.
     *
     * @param rows the result rows in order
     * @param result result of the statement
     * @param transactionState transaction state of the session after the statement
     * @param position log position to report, or empty if none is known
     */
    record Reply(
            List<String> rows,
            StatementResult result,
            TransactionState transactionState,
            Optional<LogPosition> position)
            implements SessionEffect {
        /** Makes an unmodifiable copy of the rows. */
        public Reply {
            rows = List.copyOf(rows);
        }
    }

    /** Closes the caller's connection while no statement is in progress. */
    record CloseCallerConnection() implements SessionEffect {}

    /**
     * Requests a token from the customer's rate limiter.
     *
     * @param tokenRequestId id of the token request
     * @param customer name of the customer
     * @param maximumWait maximum wait for the token before the statement is refused
     */
    record RequestRateToken(long tokenRequestId, CustomerName customer, Duration maximumWait)
            implements SessionEffect {}

    /**
     * Requests a slot of a database.
     *
     * @param database name of the database
     * @param slotRequestId id of the slot request
     * @param customer name of the customer, for fair queuing
     * @param priority priority of the statement; 0 is the highest
     * @param deadline time after which the request is obsolete
     * @param holdsConnection whether the session already holds a connection to the database
     */
    record RequestSlot(
            BackendServerName database,
            long slotRequestId,
            CustomerName customer,
            int priority,
            Instant deadline,
            boolean holdsConnection)
            implements SessionEffect {}

    /**
     * Cancels a slot request.
     *
     * @param database name of the database
     * @param slotRequestId id of the slot request
     */
    record CancelSlotRequest(BackendServerName database, long slotRequestId) implements SessionEffect {}

    /**
     * Releases a slot. The session keeps its connection.
     *
     * @param database name of the database
     * @param slotRequestId id of the slot request
     */
    record ReleaseSlot(BackendServerName database, long slotRequestId) implements SessionEffect {}

    /**
     * Sends commands to a database. Their replies arrive as one {@link SessionEvent.RepliesReceived}.
     *
     * @param database name of the database
     * @param connectionId id of the connection
     * @param commands the commands in order
     * @param endsSlot whether the session needs the slot no longer once the last reply has arrived
     */
    record SendCommands(BackendServerName database, long connectionId, List<BackendCommand> commands, boolean endsSlot)
            implements SessionEffect {
        /** Makes an unmodifiable copy of the commands. */
        public SendCommands {
            commands = List.copyOf(commands);
        }
    }

    /**
     * Returns a connection to the pool.
     *
     * @param database name of the database
     * @param connectionId id of the connection
     * @param rollbackRequired whether an open transaction on the connection must be rolled back first
     */
    record ReturnConnection(BackendServerName database, long connectionId, boolean rollbackRequired)
            implements SessionEffect {}

    /**
     * Closes a connection whose state is unknown.
     *
     * @param database name of the database
     * @param connectionId id of the connection
     */
    record CloseConnection(BackendServerName database, long connectionId) implements SessionEffect {}

    /**
     * Records a confirmed log position of the primary.
     *
     * @param group name of the group
     * @param sample the position and the time that it covers
     */
    record RecordPrimaryPosition(GroupName group, PrimaryPositionHistory.Sample sample) implements SessionEffect {}

    /**
     * Reports an observation about a database to the control state and the load estimate.
     *
     * @param group name of the group
     * @param observation the observation
     */
    record ReportObservation(GroupName group, DatabaseObservation observation) implements SessionEffect {}

    /**
     * Schedules a {@link SessionEvent.TimePassed}.
     *
     * @param at time of the event
     */
    record WakeAt(Instant at) implements SessionEffect {}

    /**
     * Records that a commit was acknowledged.
     *
     * @param group name of the group
     * @param lowerBound a position at or before the position of the commit
     */
    record RecordAcknowledgedCommit(GroupName group, LogPosition lowerBound) implements SessionEffect {}

    /**
     * Counts an operation whose key moved to another customer.
     *
     * @param outcome what became of the operation
     */
    record CountKeyMove(KeyMoveOutcome outcome) implements SessionEffect {}

    /**
     * Logs a decision.
     *
     * @param requestId identifier that the caller gave the request, or "-" if there is none
     * @param decision short text of the decision
     * @param detail inputs of the decision as key-value pairs
     */
    record Log(String requestId, String decision, String detail) implements SessionEffect {}
}
