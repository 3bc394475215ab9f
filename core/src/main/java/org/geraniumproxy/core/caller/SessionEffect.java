package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;

/** What an adapter carries out for a session. */
public sealed interface SessionEffect {
    /** Accept the caller's connection. */
    record Accept() implements SessionEffect {}

    /**
     * Refuse the caller's connection and close it.
     *
     * @param failure why
     */
    record Reject(StatementResult.Failed failure) implements SessionEffect {}

    /**
     * Answer the outstanding statement.
     *
     * @param rows the rows
     * @param result how it ended
     * @param transactionState state of the session
     * @param position position to name, if one is known
     */
    record Reply(
            List<String> rows,
            StatementResult result,
            TransactionState transactionState,
            Optional<LogPosition> position)
            implements SessionEffect {
        /** Copies the rows. */
        public Reply {
            rows = List.copyOf(rows);
        }
    }

    /** Close the caller's connection; nothing is outstanding. */
    record CloseCallerConnection() implements SessionEffect {}

    /**
     * Ask for a token of the customer.
     *
     * @param customer the customer
     * @param maximumWait longest wait for the token before the operation is refused
     */
    record RequestRateToken(CustomerName customer, Duration maximumWait) implements SessionEffect {}

    /**
     * Ask for a slot of a database.
     *
     * @param database the database
     * @param slotRequestId number of the request for the slot
     * @param customer the customer, for the fair order
     * @param priority importance of the operation; 0 is the highest
     * @param deadline moment at which the slot is no longer wanted
     * @param holdsConnection whether the session holds a connection of the database already
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
     * Withdraw a request for a slot.
     *
     * @param database the database
     * @param slotRequestId number of the request
     */
    record CancelSlotRequest(BackendServerName database, long slotRequestId) implements SessionEffect {}

    /**
     * Give a slot back; the connection stays with the session.
     *
     * @param database the database
     * @param slotRequestId number of the request for the slot
     */
    record ReleaseSlot(BackendServerName database, long slotRequestId) implements SessionEffect {}

    /**
     * Send commands to a database; the answers come as one event.
     *
     * @param database the database
     * @param connectionId the connection
     * @param commands the commands
     */
    record SendCommands(BackendServerName database, long connectionId, List<BackendCommand> commands)
            implements SessionEffect {
        /** Copies the commands. */
        public SendCommands {
            commands = List.copyOf(commands);
        }
    }

    /**
     * Give a connection back for other sessions.
     *
     * @param database the database
     * @param connectionId the connection
     * @param connectionState what it knows
     * @param rollbackRequired whether a transaction is open on it that is rolled back first
     */
    record ReturnConnection(
            BackendServerName database, long connectionId, ConnectionState connectionState, boolean rollbackRequired)
            implements SessionEffect {}

    /**
     * Close a connection whose state is unknown.
     *
     * @param database the database
     * @param connectionId the connection
     */
    record CloseConnection(BackendServerName database, long connectionId) implements SessionEffect {}

    /**
     * Remember a position that the primary proved.
     *
     * @param group the group
     * @param sample the sample
     */
    record RecordPrimaryPosition(GroupName group, PrimaryPositionHistory.Sample sample) implements SessionEffect {}

    /**
     * Tell the control state and the load estimate how a database behaved.
     *
     * @param group the group
     * @param observation what was seen
     */
    record ReportObservation(GroupName group, DatabaseObservation observation) implements SessionEffect {}

    /**
     * Wake the session at a moment if nothing else happens.
     *
     * @param at the moment
     */
    record WakeAt(Instant at) implements SessionEffect {}

    /**
     * Record that a commit was acknowledged.
     *
     * @param group the group
     * @param lowerBound a position at or before that of the commit
     */
    record RecordAcknowledgedCommit(GroupName group, LogPosition lowerBound) implements SessionEffect {}

    /**
     * Write a decision to the log.
     *
     * @param requestId the caller's identifier of the request
     * @param decision what was decided
     * @param detail its inputs
     */
    record Log(String requestId, String decision, String detail) implements SessionEffect {}
}
