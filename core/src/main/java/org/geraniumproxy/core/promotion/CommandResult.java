package org.geraniumproxy.core.promotion;

/** Result of a command that a lease holder sent to a database. */
public sealed interface CommandResult {
    /**
     * The database carried the command out.
     *
     * @param status status after the command
     */
    record Answered(DatabaseStatus status) implements CommandResult {}

    /**
     * The database will never carry the command out: it was not sent, or it was answered with an error.
     *
     * @param reason reason for the log
     */
    record Failed(String reason) implements CommandResult {}

    /**
     * The command was sent and not answered in time. The database may still carry it out, seconds later.
     *
     * @param reason reason for the log
     */
    record Unanswered(String reason) implements CommandResult {}
}
