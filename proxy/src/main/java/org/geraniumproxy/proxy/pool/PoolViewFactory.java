package org.geraniumproxy.proxy.pool;

import java.util.Optional;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.failover.BackendStatus;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.pool.ConnectionBudget;
import org.geraniumproxy.core.pool.ConnectionReport;
import org.geraniumproxy.core.pool.PoolView;

/** Builds the input for decisions on slots and connections of a database from the control state. */
final class PoolViewFactory {
    private PoolViewFactory() {}

    static PoolView of(ControlSnapshot snapshot, DatabaseGroup group, BackendServerName name, ConnectionBudget budget) {
        Optional<BackendStatus> status = Optional.ofNullable(snapshot.groups().get(group.name()))
                .map(view -> view.statuses().get(name));
        return new PoolView(
                group.slots(),
                group.connections(),
                budget.connections(group),
                status.map(report -> new ConnectionReport(report.requestSentAt(), report.openConnections())));
    }
}
