package org.geraniumproxy.core.caller;

import java.util.List;

/**
 * State of a database connection, followed from the commands that are sent on it. There is one tracker for a
 * connection, beside the socket or channel that carries its commands, so that every session that uses the connection
 * starts from what the database holds. The state is unknown while a batch of commands has not been answered, and for
 * good once a command that changes it has failed: the connection must then be closed after its use.
 *
 * @param state state after the last batch that was answered
 * @param unanswered commands of the batch that was sent last, empty if it was answered
 * @param reliable whether the state is that of the connection
 * @param hasSetVariables whether variables were changed in the open transaction
 * @param inTransaction whether a transaction is open
 */
public record ConnectionStateTracker(
        ConnectionState state,
        List<BackendCommand> unanswered,
        boolean reliable,
        boolean hasSetVariables,
        boolean inTransaction) {
    /** Tracker of a new connection. */
    public static final ConnectionStateTracker NEW = of(ConnectionState.EMPTY);

    /** Makes an unmodifiable copy of the commands. */
    public ConnectionStateTracker {
        unanswered = List.copyOf(unanswered);
    }

    /**
     * Creates the tracker of a connection that runs no transaction.
     *
     * @param state state of the connection
     * @return the tracker
     */
    public static ConnectionStateTracker of(ConnectionState state) {
        return new ConnectionStateTracker(state, List.of(), true, false, false);
    }

    /**
     * Returns whether the state is known, so that another session may use the connection.
     *
     * @return false while an answer is missing, and after a command that changes the state has failed
     */
    public boolean isKnown() {
        return reliable && unanswered.isEmpty();
    }

    /**
     * Returns whether the state is known and will be once the connection has been given back.
     *
     * @param rollback whether the open transaction is rolled back then
     * @return false if the connection must be closed instead
     */
    public boolean isKnownAfter(boolean rollback) {
        return isKnown() && !(rollback && hasSetVariables);
    }

    /**
     * Records that a batch of commands was sent.
     *
     * @param commands the commands in order
     * @return the tracker, whose state is unknown until the batch is answered
     */
    public ConnectionStateTracker sent(List<BackendCommand> commands) {
        return new ConnectionStateTracker(
                state, commands, reliable && unanswered.isEmpty(), hasSetVariables, inTransaction);
    }

    /**
     * Records the answers to the last batch.
     *
     * @param replies one reply per command, in order
     * @return the tracker after the commands that the database has carried out
     * @throws IllegalArgumentException if the number of replies is not that of the commands
     */
    public ConnectionStateTracker answered(List<BackendReply> replies) {
        if (replies.size() != unanswered.size()) {
            throw new IllegalArgumentException(replies.size() + " replies to " + unanswered.size() + " commands");
        }
        ConnectionStateTracker next = this;
        for (int index = 0; index < replies.size(); index++) {
            next = next.answered(unanswered.get(index), replies.get(index));
        }
        return new ConnectionStateTracker(
                next.state, List.of(), next.reliable, next.hasSetVariables, next.inTransaction);
    }

    private ConnectionStateTracker answered(BackendCommand command, BackendReply reply) {
        boolean completed = reply.isCompleted();
        return switch (command) {
            case BackendCommand.Discard _, BackendCommand.SetVariable _ ->
                completed ? changed(state.after(command), inTransaction) : unknown();
            case BackendCommand.Prepare _ -> completed ? changed(state.after(command), hasSetVariables) : unknown();
            case BackendCommand.ExecutePrepared _ -> lacksStatement(reply) ? unknown() : this;
            case BackendCommand.Begin _ -> completed ? transaction(true) : this;
            case BackendCommand.Commit _ -> completed ? transaction(false) : rolledBack();
            case BackendCommand.Rollback _ -> rolledBack();
            case BackendCommand.ExecuteText _,
                    BackendCommand.ReadStatus _,
                    BackendCommand.StopReceiving _,
                    BackendCommand.ResumeReceiving _,
                    BackendCommand.StepDown _ -> this;
        };
    }

    /** Whether a rollback takes back variables that the transaction has set is up to the database. */
    private ConnectionStateTracker rolledBack() {
        return hasSetVariables ? unknown() : transaction(false);
    }

    private static boolean lacksStatement(BackendReply reply) {
        return reply.result() instanceof StatementResult.Failed failure
                && failure.code() == ErrorCode.UNKNOWN_STATEMENT;
    }

    private ConnectionStateTracker changed(ConnectionState next, boolean setVariables) {
        return new ConnectionStateTracker(next, unanswered, reliable, setVariables, inTransaction);
    }

    private ConnectionStateTracker transaction(boolean open) {
        return new ConnectionStateTracker(state, unanswered, reliable, false, open);
    }

    private ConnectionStateTracker unknown() {
        return new ConnectionStateTracker(state, unanswered, false, hasSetVariables, inTransaction);
    }
}
