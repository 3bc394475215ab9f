package org.geraniumproxy.proxy.backend;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.configuration.BackendServer;
import org.geraniumproxy.core.failover.BackendStatus;
import org.geraniumproxy.core.identity.Term;

/** Client of the backend servers. Every future completes exceptionally if no reply arrives in time. */
public interface BackendClient extends AutoCloseable {
    /**
     * Requests a status report.
     *
     * @param backendServer the database
     * @param awaitedPosition log position that the database waits for before it replies, zero to reply at once
     * @param wait maximum wait at the database, after which it replies in any case
     * @return the status of the database
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
     * @return a connection that the database has accepted
     */
    CompletableFuture<BackendConnection> open(BackendServer backendServer);

    /** Closes all channels; calls that are still running fail. */
    @Override
    void close();

    /**
     * Result of a fence request.
     *
     * @param accepted whether the database has been fenced at the term
     * @param status status of the database after the call
     */
    record FenceResult(boolean accepted, BackendStatus status) {}

    /**
     * Result of a promotion request.
     *
     * @param accepted whether the database is the primary of the term
     * @param startPosition log position at which the term starts
     * @param detail why the promotion was rejected, empty if it was accepted
     */
    record PromoteResult(boolean accepted, long startPosition, String detail) {}
}
