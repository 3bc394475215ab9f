package org.geraniumproxy.core.pool;

import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.outcome.NotRunReason;

/** An action that the adapter carries out for a {@link CustomerPool}. */
public sealed interface CustomerPoolEffect {
    /**
     * Grants a slot to a request, with an idle connection of its customer unless the request already holds one.
     *
     * @param request the slot request
     */
    record Grant(SlotRequest request) implements CustomerPoolEffect {}

    /**
     * Refuses a slot to a request, for which nothing was sent.
     *
     * @param request the slot request
     * @param reason reason of the refusal
     */
    record Refuse(SlotRequest request, NotRunReason reason) implements CustomerPoolEffect {}

    /**
     * Opens a connection.
     *
     * @param customer customer that the connection serves
     */
    record Open(CustomerName customer) implements CustomerPoolEffect {}

    /**
     * Closes an idle connection.
     *
     * @param customer customer that the connection serves
     */
    record CloseIdle(CustomerName customer) implements CustomerPoolEffect {}
}
