package org.geraniumproxy.core.pool;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.geraniumproxy.core.control.InvariantViolation;

/**
 * Connections of this VM to one database.
 *
 * @param idle open and free
 * @param held open and in use by a request or transaction
 * @param opening being opened
 * @param openedAt moments at which connections were opened that the last report may not include
 * @param blockedUntil moment before which none is opened, after a failure
 */
record ConnectionCount(int idle, int held, int opening, List<Instant> openedAt, Instant blockedUntil) {
    /** Age at which a report no longer proves room: a database that is reachable reports ten times as often. */
    static final Duration GREATEST_REPORT_AGE = Duration.ofSeconds(1);

    /** Wait after a connection could not be opened; about one report interval. */
    static final Duration FAILURE_DELAY = Duration.ofMillis(100);

    static final ConnectionCount NONE = new ConnectionCount(0, 0, 0, List.of(), Instant.MIN);

    ConnectionCount {
        openedAt = List.copyOf(openedAt);
        InvariantViolation.check(idle >= 0 && held >= 0 && opening >= 0, "connections are never counted below zero");
    }

    int total() {
        return idle + held + opening;
    }

    /** Connections that may be opened now: within the own share, and within the room that the last report shows. */
    int mayOpen(PoolView view, Instant now) {
        if (now.isBefore(blockedUntil) || view.report().isEmpty()) {
            return 0;
        }
        ConnectionReport report = view.report().get();
        if (Duration.between(report.requestSentAt(), now).compareTo(GREATEST_REPORT_AGE) > 0) {
            return 0;
        }
        long unreported = openedAt.stream()
                .filter(moment -> !moment.isBefore(report.requestSentAt()))
                .count();
        long room = view.connectionLimit() - report.openConnections() - unreported - opening;
        return (int) Math.max(0, Math.min(room, view.connectionShare() - total()));
    }

    ConnectionCount open(int count) {
        return new ConnectionCount(idle, held, opening + count, openedAt, blockedUntil);
    }

    ConnectionCount opened(Instant now, PoolView view) {
        Instant reported = view.report().map(ConnectionReport::requestSentAt).orElse(Instant.MIN);
        List<Instant> unreported = Stream.concat(openedAt.stream(), Stream.of(now))
                .filter(moment -> !moment.isBefore(reported))
                .toList();
        return new ConnectionCount(idle + 1, held, opening - 1, unreported, blockedUntil);
    }

    ConnectionCount failed(Instant now) {
        return new ConnectionCount(idle, held, opening - 1, openedAt, now.plus(FAILURE_DELAY));
    }

    ConnectionCount hold() {
        return new ConnectionCount(idle - 1, held + 1, opening, openedAt, blockedUntil);
    }

    ConnectionCount giveBack(boolean clean) {
        return new ConnectionCount(idle + (clean ? 1 : 0), held - 1, opening, openedAt, blockedUntil);
    }

    ConnectionCount closeIdle(int count) {
        return new ConnectionCount(idle - count, held, opening, openedAt, blockedUntil);
    }
}
