package org.geraniumproxy.measure.process;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Database behind the wire protocol of {@link DatabaseConnection}. Called by many threads. */
public interface ServedDatabase {
    /**
     * Returns the name of the service.
     *
     * @return the name
     */
    String service();

    /**
     * Returns the identifier of the database.
     *
     * @return the identifier
     */
    String id();

    /**
     * Returns whether the database leads its service.
     *
     * @return true if it does
     */
    boolean isPrimary();

    /**
     * Returns the newest position of the log.
     *
     * @return TERM.NUMBER
     */
    String position();

    /**
     * Returns whether the log holds a position.
     *
     * @param position TERM.NUMBER
     * @return true if it does
     */
    boolean holds(String position);

    /**
     * Called when a statement has arrived.
     *
     * @param statement identifier of the statement
     * @param connection number of the connection
     */
    void receive(String statement, long connection);

    /**
     * Takes a slot for the time that a statement works.
     *
     * @param statement identifier of the statement
     * @param connection number of the connection
     * @param time time that the statement works
     * @throws InterruptedException if the thread was interrupted
     */
    void work(String statement, long connection, Duration time) throws InterruptedException;

    /**
     * Commits statements and waits until the commit may be acknowledged.
     *
     * @param statements identifiers of the statements
     * @param connection number of the connection
     * @return code of the error; empty if the commit is acknowledged
     * @throws InterruptedException if the thread was interrupted
     */
    Optional<String> commit(List<String> statements, long connection) throws InterruptedException;

    /**
     * Carries out STATUS, PAUSE, UNPAUSE or STEPDOWN.
     *
     * @param command words of the command
     * @return fields of the status afterwards: role, term, received position, held term, lag in milliseconds, busy,
     *     connections
     * @throws InterruptedException if the thread was interrupted
     */
    String control(List<String> command) throws InterruptedException;
}
