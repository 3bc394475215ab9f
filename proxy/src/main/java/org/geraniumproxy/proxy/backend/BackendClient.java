package org.geraniumproxy.proxy.backend;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.configuration.BackendServer;
import org.geraniumproxy.core.failover.BackendStatus;
import org.geraniumproxy.core.identity.Term;

/** Access to backend servers. Every future completes exceptionally if the backend server can't be reached in time. */
public interface BackendClient extends AutoCloseable {
    /**
     * Asks for a status report.
     *
     * @param backendServer the database
     * @param awaitedPosition position that the reply waits for, zero for none
     * @param wait longest wait at the database
     * @return the report
     */
    CompletableFuture<BackendStatus> status(BackendServer backendServer, long awaitedPosition, Duration wait);

    /**
     * Raises the lowest term that a database accepts.
     *
     * @param backendServer the database
     * @param term the term
     * @return whether the database accepted, and its status after the call
     */
    CompletableFuture<FenceResult> fence(BackendServer backendServer, Term term);

    /**
     * Makes a database the primary of a term that it has been fenced at.
     *
     * @param backendServer the database
     * @param term the term
     * @return whether the database accepted, and the start position of the term
     */
    CompletableFuture<PromoteResult> promote(BackendServer backendServer, Term term);

    /**
     * Makes a database replicate from the primary of a term.
     *
     * @param backendServer the database
     * @param term the term
     * @param primary the primary of the term
     * @return whether the database accepted
     */
    CompletableFuture<Boolean> follow(BackendServer backendServer, Term term, BackendServer primary);

    /**
     * Opens a connection.
     *
     * @param backendServer the database
     * @return the open connection
     */
    CompletableFuture<BackendConnection> open(BackendServer backendServer);

    /** Closes all links. */
    @Override
    void close();

    /**
     * Answer to a fence.
     *
     * @param accepted whether the database has been fenced at the term
     * @param status status of the database after the call
     */
    record FenceResult(boolean accepted, BackendStatus status) {}

    /**
     * Answer to a promotion.
     *
     * @param accepted whether the database is the primary of the term
     * @param startPosition start position of the term
     * @param detail why it was refused, empty if it was accepted
     */
    record PromoteResult(boolean accepted, long startPosition, String detail) {}
}
