package org.geraniumproxy.core.pool;

import org.geraniumproxy.core.outcome.NotRunReason;

/** What an adapter carries out for the slots and connections of one database. */
public sealed interface PoolEffect {
    /**
     * The request has a slot, with an idle connection unless it holds one already.
     *
     * @param request the request
     */
    record Grant(SlotRequest request) implements PoolEffect {}

    /**
     * The request gets no slot; nothing was sent for it.
     *
     * @param request the request
     * @param reason why
     */
    record Refuse(SlotRequest request, NotRunReason reason) implements PoolEffect {}

    /**
     * Open connections.
     *
     * @param count their number
     */
    record Open(int count) implements PoolEffect {}

    /**
     * Close idle connections.
     *
     * @param count their number
     */
    record CloseIdle(int count) implements PoolEffect {}
}
