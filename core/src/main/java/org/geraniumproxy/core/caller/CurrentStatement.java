package org.geraniumproxy.core.caller;

import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.service.ServiceRoute;
import org.geraniumproxy.core.statement.Statement;
import org.geraniumproxy.core.statement.StatementTemplate;

/**
 * The statement in progress of a session.
 *
 * @param requestId identifier that the caller gave the request
 * @param statement the decoded statement
 * @param template template of the prepared statement that it executes, or empty
 * @param route the route at the time of arrival
 * @param customer customer for whom the statement was admitted; it runs on connections of this customer only
 * @param arrivedAt time at which the statement was received
 * @param deadline time at which the statement fails if it has not ended
 * @param tries number of placements tried so far
 * @param excludedDatabases databases that refused the statement
 * @param answered whether the caller was already answered
 */
record CurrentStatement(
        String requestId,
        Statement statement,
        Optional<StatementTemplate> template,
        ServiceRoute route,
        CustomerName customer,
        Instant arrivedAt,
        Instant deadline,
        int tries,
        Set<BackendServerName> excludedDatabases,
        boolean answered) {
    CurrentStatement {
        excludedDatabases = Set.copyOf(excludedDatabases);
    }

    boolean isCommit() {
        return statement instanceof Statement.Commit;
    }

    boolean isRead() {
        return switch (statement) {
            case Statement.Read _ -> true;
            case Statement.Execute _ -> template.map(known -> !known.write()).orElse(false);
            default -> false;
        };
    }

    boolean isBegin() {
        return statement instanceof Statement.Begin;
    }

    CurrentStatement markAnswered() {
        return new CurrentStatement(
                requestId, statement, template, route, customer, arrivedAt, deadline, tries, excludedDatabases, true);
    }

    CurrentStatement withCustomer(CustomerName holder) {
        return new CurrentStatement(
                requestId, statement, template, route, holder, arrivedAt, deadline, tries, excludedDatabases, answered);
    }

    CurrentStatement withNextTry() {
        return new CurrentStatement(
                requestId,
                statement,
                template,
                route,
                customer,
                arrivedAt,
                deadline,
                tries + 1,
                excludedDatabases,
                answered);
    }

    CurrentStatement excluding(BackendServerName database) {
        Set<BackendServerName> extended = new HashSet<>(excludedDatabases);
        extended.add(database);
        return new CurrentStatement(
                requestId, statement, template, route, customer, arrivedAt, deadline, tries, extended, answered);
    }

    CurrentStatement withoutExclusions() {
        return new CurrentStatement(
                requestId, statement, template, route, customer, arrivedAt, deadline, tries, Set.of(), answered);
    }
}
