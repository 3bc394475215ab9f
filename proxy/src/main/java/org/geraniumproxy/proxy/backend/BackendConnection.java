package org.geraniumproxy.proxy.backend;

import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.pool.BackendCommand;
import org.geraniumproxy.core.pool.BackendReply;

/** One connection to a database. It runs one command at a time. */
public interface BackendConnection extends AutoCloseable {
    /**
     * Runs a command. The future never completes exceptionally: failures are cases of {@link BackendReply}.
     *
     * @param command the command
     * @param term the term that the database must be in
     * @param customer the customer that the command runs for
     * @return how it ended
     * @throws IllegalStateException if another command is still running on the connection
     */
    CompletableFuture<BackendReply> execute(BackendCommand command, Term term, CustomerName customer);

    /**
     * Tells whether the connection may serve another request: every reply was matched and no transaction is open.
     *
     * @return true if it is clean
     */
    boolean isClean();

    /** Closes the connection; an open transaction is rolled back by the database. */
    @Override
    void close();
}
