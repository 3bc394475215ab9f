package org.geraniumproxy.engine.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.memory.CallerLimits;

/** Applies the limits of callers' connections that do not depend on memory, and counts and logs what was closed. */
final class CallerConnections {
    /** Bounds the log while a crowd is refused; the metrics count all of them. */
    private static final int MAXIMUM_LINES_PER_SECOND = 20;

    /**
     * Age from which a connection on which nothing has arrived makes room for a new one. Callers send their first
     * message as soon as they are connected, and the latency to them is a few milliseconds.
     */
    private static final Duration REPLACEABLE_AGE = Duration.ofSeconds(1);

    private final TrafficEngine engine;
    private final CallerLimits limits;

    /** Connections on which nothing has arrived, in the order of their acceptance. */
    private final Set<CallerConnection> silent = new LinkedHashSet<>();

    private Instant logIntervalEnd = Instant.MIN;
    private int loggedLines;
    private int omittedLines;

    CallerConnections(TrafficEngine engine, CallerLimits limits) {
        this.engine = engine;
        this.limits = limits;
    }

    CallerLimits limits() {
        return limits;
    }

    /** Adds a connection. At the limit, it replaces the oldest one on which nothing has arrived, or is refused. */
    void onConnected(CallerConnection caller) {
        silent.add(caller);
        if (engine.sessionCount() > limits.connections()) {
            CallerConnection oldest = silent.iterator().next();
            boolean replaceable = oldest.acceptedAt().plus(REPLACEABLE_AGE).isBefore(engine.now());
            close(replaceable ? oldest : caller, CloseReason.CONNECTION_LIMIT);
        }
    }

    void onReceived(CallerConnection caller) {
        silent.remove(caller);
    }

    void onClosed(CallerConnection caller) {
        silent.remove(caller);
    }

    /** Closes connections on which nothing has arrived for too long. */
    void onTick() {
        Instant latest = engine.now().minus(limits.silenceBeforeConnect());
        Optional<CallerConnection> oldest = oldestSilent();
        while (oldest.filter(caller -> caller.acceptedAt().isBefore(latest)).isPresent()) {
            close(oldest.get(), CloseReason.NOTHING_RECEIVED);
            oldest = oldestSilent();
        }
        if (omittedLines > 0 && engine.now().isAfter(logIntervalEnd)) {
            engine.log("-", "connections closed", "count=" + omittedLines + " effect=\"not logged one by one\"");
            omittedLines = 0;
        }
    }

    private Optional<CallerConnection> oldestSilent() {
        return silent.stream().findFirst();
    }

    /** Closes a connection to protect the process. */
    void close(CallerConnection caller, CloseReason reason) {
        if (caller.isDisconnected()) {
            return;
        }
        engine.metrics().connectionClosed(reason.label());
        logClosing(caller, reason);
        silent.remove(caller);
        caller.stream().close(reason.text());
    }

    private void logClosing(CallerConnection caller, CloseReason reason) {
        Instant now = engine.now();
        if (now.isAfter(logIntervalEnd)) {
            logIntervalEnd = now.plusSeconds(1);
            loggedLines = 0;
        }
        if (loggedLines == MAXIMUM_LINES_PER_SECOND) {
            omittedLines++;
            return;
        }
        loggedLines++;
        engine.log(
                "-",
                "connection closed",
                "session=" + caller.session().id() + " reason=\"" + reason.text() + "\" held=" + caller.heldBytes()
                        + " total=" + engine.memory().total() + " pause="
                        + limits.budget().pauseBytes() + " limit="
                        + limits.budget().closeBytes() + " connections=" + engine.sessionCount() + " age="
                        + Duration.between(caller.acceptedAt(), now).toMillis() + "ms");
    }
}
