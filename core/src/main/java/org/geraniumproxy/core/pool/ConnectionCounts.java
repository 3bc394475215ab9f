package org.geraniumproxy.core.pool;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.geraniumproxy.core.control.InvariantViolation;

/**
 * Number of connections of this VM to one database, by state.
 *
 * @param idle open connections that are not in use
 * @param inUse open connections that a request or transaction uses
 * @param opening connections that are being opened
 * @param recentlyOpenedAt times at which connections were opened that the last report may not include
 * @param blockedUntil time until which no connection is opened after a failure
 */
record ConnectionCounts(int idle, int inUse, int opening, List<Instant> recentlyOpenedAt, Instant blockedUntil) {
    /** Maximum age of a usable connection report; a reachable database reports ten times as often. */
    static final Duration MAXIMUM_REPORT_AGE = Duration.ofSeconds(1);

    /** Delay after a failure to open a connection; about one report interval. */
    static final Duration OPEN_RETRY_DELAY = Duration.ofMillis(100);

    static final ConnectionCounts NONE = new ConnectionCounts(0, 0, 0, List.of(), Instant.MIN);

    ConnectionCounts {
        recentlyOpenedAt = List.copyOf(recentlyOpenedAt);
        InvariantViolation.check(idle >= 0 && inUse >= 0 && opening >= 0, "connection counts must not be negative");
    }

    int total() {
        return idle + inUse + opening;
    }

    /** Returns how many connections may be opened within the share of this VM and the capacity in the last report. */
    int remainingCapacity(PoolView view, Instant now) {
        if (now.isBefore(blockedUntil) || view.report().isEmpty()) {
            return 0;
        }
        ConnectionReport report = view.report().get();
        if (Duration.between(report.requestSentAt(), now).compareTo(MAXIMUM_REPORT_AGE) > 0) {
            return 0;
        }
        long unreported = recentlyOpenedAt.stream()
                .filter(openedAt -> !openedAt.isBefore(report.requestSentAt()))
                .count();
        long available = view.connectionLimit() - report.openConnections() - unreported - opening;
        return (int) Math.max(0, Math.min(available, view.connectionShare() - total()));
    }

    ConnectionCounts startOpening(int count) {
        return new ConnectionCounts(idle, inUse, opening + count, recentlyOpenedAt, blockedUntil);
    }

    ConnectionCounts opened(Instant now, PoolView view) {
        Instant reported = view.report().map(ConnectionReport::requestSentAt).orElse(Instant.MIN);
        List<Instant> unreported = Stream.concat(recentlyOpenedAt.stream(), Stream.of(now))
                .filter(openedAt -> !openedAt.isBefore(reported))
                .toList();
        return new ConnectionCounts(idle + 1, inUse, opening - 1, unreported, blockedUntil);
    }

    ConnectionCounts openingFailed(Instant now) {
        return new ConnectionCounts(idle, inUse, opening - 1, recentlyOpenedAt, now.plus(OPEN_RETRY_DELAY));
    }

    ConnectionCounts acquire() {
        return new ConnectionCounts(idle - 1, inUse + 1, opening, recentlyOpenedAt, blockedUntil);
    }

    ConnectionCounts release(boolean reusable) {
        return new ConnectionCounts(idle + (reusable ? 1 : 0), inUse - 1, opening, recentlyOpenedAt, blockedUntil);
    }

    ConnectionCounts closeIdle(int count) {
        return new ConnectionCounts(idle - count, inUse, opening, recentlyOpenedAt, blockedUntil);
    }
}
