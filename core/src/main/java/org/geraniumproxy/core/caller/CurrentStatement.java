package org.geraniumproxy.core.caller;

import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.service.ServiceRoute;
import org.geraniumproxy.core.statement.Statement;
import org.geraniumproxy.core.statement.StatementTemplate;

/**
 * The statement that a session works on.
 *
 * @param requestId the caller's identifier
 * @param statement the statement
 * @param template what it runs if it is a prepared statement
 * @param route the route in force for it
 * @param arrivedAt moment at which it was read
 * @param deadline moment at which the caller is told that there is no answer
 * @param tries placements tried
 * @param excludedDatabases databases that refused it
 * @param answered whether the caller has its answer already
 */
record CurrentStatement(
        String requestId,
        Statement statement,
        Optional<StatementTemplate> template,
        ServiceRoute route,
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
                requestId, statement, template, route, arrivedAt, deadline, tries, excludedDatabases, true);
    }

    CurrentStatement withNextTry() {
        return new CurrentStatement(
                requestId, statement, template, route, arrivedAt, deadline, tries + 1, excludedDatabases, answered);
    }

    CurrentStatement excluding(BackendServerName database) {
        Set<BackendServerName> extended = new HashSet<>(excludedDatabases);
        extended.add(database);
        return new CurrentStatement(
                requestId, statement, template, route, arrivedAt, deadline, tries, extended, answered);
    }

    CurrentStatement withoutExclusions() {
        return new CurrentStatement(
                requestId, statement, template, route, arrivedAt, deadline, tries, Set.of(), answered);
    }
}
