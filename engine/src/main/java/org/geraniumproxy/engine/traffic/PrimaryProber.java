package org.geraniumproxy.engine.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.caller.BackendReply;
import org.geraniumproxy.core.caller.ErrorCode;
import org.geraniumproxy.core.caller.PrimaryPositionHistory;
import org.geraniumproxy.core.caller.StatementResult;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.identity.GroupName;

/**
 * Checks that primaries that have not answered for a while still lead their group. A probe takes no slot of the
 * database.
 */
final class PrimaryProber {
    /** Time without a reply after which a primary is probed; longer than a statement usually takes. */
    private static final Duration QUIET_TIME_BEFORE_PROBE = Duration.ofMillis(250);

    /** Allows for many round trips between regions and the opening of a connection. */
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);

    private final TrafficEngine engine;
    private final AdministrativeCommands commands;
    private final TrafficObserver observer;

    PrimaryProber(TrafficEngine engine, AdministrativeCommands commands, TrafficObserver observer) {
        this.engine = engine;
        this.commands = commands;
        this.observer = observer;
    }

    /**
     * Probes the primary of a watched group, and another one that failed until it is known whether it answers again.
     */
    void probeIfDue(GroupName group, GroupDirectory directory) {
        directory.primary().ifPresent(primary -> {
            DatabaseConnectionPool connectionPool = engine.connectionPool(primary.name());
            boolean unconfirmedFailure =
                    connectionPool.condition().health().failingSince().isPresent();
            if (engine.view().watchedGroups().contains(group) || unconfirmedFailure) {
                probe(group, connectionPool);
            }
        });
    }

    private void probe(GroupName group, DatabaseConnectionPool primary) {
        Instant sentAt = engine.now();
        if (!primary.tryStartProbe(sentAt.minus(QUIET_TIME_BEFORE_PROBE))) {
            return;
        }
        BackendCommand begin = new BackendCommand.Begin(false, Optional.empty());
        var unused = commands.send(primary.entry().name(), begin, PROBE_TIMEOUT).whenComplete((reply, failure) -> {
            if (failure == null) {
                recordReply(group, primary, sentAt, reply);
            }
            primary.endProbe(failure == null);
        });
    }

    private void recordReply(GroupName group, DatabaseConnectionPool primary, Instant sentAt, BackendReply reply) {
        if (reply.isCompleted() && reply.position().isPresent()) {
            engine.recordPosition(
                    group, new PrimaryPositionHistory.Sample(reply.position().get(), sentAt));
        } else if (reply.result() instanceof StatementResult.Failed failed && failed.code() == ErrorCode.READ_ONLY) {
            observer.onNotPrimary(group, primary.entry().name());
        }
    }
}
