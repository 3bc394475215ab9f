package org.geraniumproxy.core.pool;

import org.geraniumproxy.core.outcome.NotRunReason;

/** An action that the adapter carries out for a {@link PoolState}. */
public sealed interface PoolEffect {
    /**
     * Grants a slot to a request, with an idle connection unless the request already holds one.
     *
     * @param request the slot request
     */
    record Grant(SlotRequest request) implements PoolEffect {}

    /**
     * Refuses a slot to a request, for which nothing was sent.
     *
     * @param request the slot request
     * @param reason reason of the refusal
     */
    record Refuse(SlotRequest request, NotRunReason reason) implements PoolEffect {}

    /**
     * Opens connections.
     *
     * @param count number of connections
     */
    record Open(int count) implements PoolEffect {}

    /**
     * Closes idle connections.
     *
     * @param count number of connections
     */
    record CloseIdle(int count) implements PoolEffect {}
}
