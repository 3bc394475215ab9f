package org.geraniumproxy.proxy.traffic;

import org.geraniumproxy.core.failover.GroupView;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.outcome.Outcome;

/** Where a request runs. */
sealed interface Placed {
    /**
     * A database may serve the request.
     *
     * @param view the view of the group that this was decided on
     * @param server the database
     * @param replica whether it is a replica
     */
    record At(GroupView view, BackendServerName server, boolean replica) implements Placed {}

    /**
     * No database may serve the request.
     *
     * @param outcome why
     */
    record Refused(Outcome outcome) implements Placed {}

    static Placed refused(NotRunReason reason, String detail) {
        return new Refused(Outcome.notRun(reason, detail));
    }
}
