package org.geraniumproxy.proxy.traffic;

import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.routing.GroupResult;

/**
 * An open transaction. It pins one connection to the primary of its group. Its statements have no effect before the
 * commit, so that a statement of a transaction whose commit was never sent has not run.
 */
public interface GroupTransaction extends AutoCloseable {
    /**
     * Takes the next step; commit and rollback end the transaction.
     *
     * @param step the step
     * @return the result; never completes exceptionally
     * @throws IllegalStateException if another step is still running
     */
    CompletableFuture<GroupResult> step(TransactionStep step);

    /** Rolls the transaction back if it has not ended; a commit that was sent keeps its unknown outcome. */
    @Override
    void close();
}
