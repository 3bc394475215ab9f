package org.geraniumproxy.core.pool;

import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.outcome.NotRunReason;

/** What an adapter carries out for the slots and connections of one database. */
public sealed interface CustomerPoolEffect {
    /**
     * The request has a slot, with an idle connection of its customer unless it holds one already.
     *
     * @param request the request
     */
    record Grant(SlotRequest request) implements CustomerPoolEffect {}

    /**
     * The request gets no slot; nothing was sent for it.
     *
     * @param request the request
     * @param reason why
     */
    record Refuse(SlotRequest request, NotRunReason reason) implements CustomerPoolEffect {}

    /**
     * Open a connection.
     *
     * @param customer for whom
     */
    record Open(CustomerName customer) implements CustomerPoolEffect {}

    /**
     * Close an idle connection.
     *
     * @param customer for whom it was opened
     */
    record CloseIdle(CustomerName customer) implements CustomerPoolEffect {}
}
