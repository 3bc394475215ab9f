package org.geraniumproxy.core.caller;

import java.util.Optional;
import org.geraniumproxy.core.identity.CustomerName;

/**
 * What became of the caller's key since a statement was admitted. A key may move to another customer or be withdrawn
 * while the statement waits, and while its transaction is open.
 */
sealed interface CustomerChange {
    /**
     * The key identifies another customer.
     *
     * @param holder customer that holds the key, or {@link CallerSession#ANONYMOUS}
     */
    record Moved(CustomerName holder) implements CustomerChange {}

    /** The key identifies nobody, and the route requires a customer. */
    record Withdrawn() implements CustomerChange {}

    /** Returns the change for the statement in progress, or empty if its customer still holds the key. */
    static Optional<CustomerChange> of(CallerSession session, SessionContext context) {
        CurrentStatement current = session.currentStatement().orElseThrow();
        Optional<CustomerName> holder =
                session.customer(current.route(), context.view().configuration());
        if (holder.isEmpty()) {
            return Optional.of(new Withdrawn());
        }
        return holder.filter(customer -> !customer.equals(current.customer())).map(Moved::new);
    }
}
