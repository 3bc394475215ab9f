package org.geraniumproxy.core.caller;

import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.service.ServiceRoute;
import org.geraniumproxy.core.statement.PreparedShape;
import org.geraniumproxy.core.statement.Statement;

/**
 * The statement that a session works on.
 *
 * @param request the caller's identifier
 * @param statement the statement
 * @param shape what it runs if it is a prepared statement
 * @param route the route in force for it
 * @param arrivedAt moment at which it was read
 * @param deadline moment at which the caller is told that there is no answer
 * @param tries placements tried
 * @param excluded databases that refused it
 * @param answered whether the caller has its answer already
 */
record CurrentStatement(
        String request,
        Statement statement,
        Optional<PreparedShape> shape,
        ServiceRoute route,
        Instant arrivedAt,
        Instant deadline,
        int tries,
        Set<BackendServerName> excluded,
        boolean answered) {
    CurrentStatement {
        excluded = Set.copyOf(excluded);
    }

    boolean isCommit() {
        return statement instanceof Statement.Commit;
    }

    boolean isRead() {
        return switch (statement) {
            case Statement.Read _ -> true;
            case Statement.Execute _ -> shape.map(known -> !known.write()).orElse(false);
            default -> false;
        };
    }

    boolean isBegin() {
        return statement instanceof Statement.Begin;
    }

    CurrentStatement answeredAhead() {
        return new CurrentStatement(request, statement, shape, route, arrivedAt, deadline, tries, excluded, true);
    }

    CurrentStatement tried() {
        return new CurrentStatement(
                request, statement, shape, route, arrivedAt, deadline, tries + 1, excluded, answered);
    }

    CurrentStatement excluding(BackendServerName database) {
        Set<BackendServerName> extended = new HashSet<>(excluded);
        extended.add(database);
        return new CurrentStatement(request, statement, shape, route, arrivedAt, deadline, tries, extended, answered);
    }

    CurrentStatement excludingNone() {
        return new CurrentStatement(request, statement, shape, route, arrivedAt, deadline, tries, Set.of(), answered);
    }
}
