package org.geraniumproxy.proxy.backend;

import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.pool.BackendCommand;
import org.geraniumproxy.core.pool.BackendReply;

/** Connection to a database, which runs one command at a time. */
public interface BackendConnection extends AutoCloseable {
    /**
     * Runs a command. The future never completes exceptionally: failures are cases of {@link BackendReply}.
     *
     * @param command the command
     * @param term the term that the database must have
     * @param customer the customer that the command runs for
     * @return the reply or how the command failed
     * @throws IllegalStateException if another command is still running on the connection
     */
    CompletableFuture<BackendReply> execute(BackendCommand command, Term term, CustomerName customer);

    /**
     * Returns whether another request may use the connection: no command is running, no transaction is open, and every
     * reply was matched to its request.
     *
     * @return true if the connection may be reused
     */
    boolean isClean();

    /** Closes the connection; an open transaction is rolled back by the database. */
    @Override
    void close();
}
