package org.geraniumproxy.proxy.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;
import org.geraniumproxy.core.configuration.BackendServer;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.failover.BackendStatus;
import org.geraniumproxy.core.failover.FailoverDecision;
import org.geraniumproxy.core.failover.FailoverEffect;
import org.geraniumproxy.core.failover.FailoverEvent;
import org.geraniumproxy.core.failover.FailoverTiming;
import org.geraniumproxy.core.failover.GroupRecord;
import org.geraniumproxy.core.failover.GroupState;
import org.geraniumproxy.core.failover.GroupView;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.Term;
import org.jboss.logging.Logger;

/** Supervises one group: applies events to its state and executes the resulting effects. Runs on the control thread. */
final class GroupSupervision {
    private static final Logger log = Logger.getLogger(GroupSupervision.class);

    /** Awaited position of a poll. No log reaches it, so the database holds the request for its whole wait. */
    private static final long UNREACHABLE_POSITION = Long.MAX_VALUE;

    /** Limits the poll rate of a database that answers status requests before their wait is over. */
    private static final Duration MINIMUM_POLL_INTERVAL = Duration.ofMillis(20);

    private final SupervisionResources resources;
    private final GroupRecordStore records;
    private final Consumer<GroupView> onView;
    private final DurabilityWaiters waiters;
    private GroupState state;
    private ScheduledFuture<?> tickTimer;
    private boolean closed;

    GroupSupervision(SupervisionResources resources, GroupState initial, Consumer<GroupView> onView) {
        this.resources = resources;
        this.records = new GroupRecordStore(resources.store());
        this.onView = onView;
        this.waiters = new DurabilityWaiters(resources, this);
        this.state = initial;
    }

    void start() {
        log.infof(
                "failover: group %s: supervision started with rank %d",
                state.group().name(), state.rank());
        tickTimer = resources.every(FailoverTiming.TICK_INTERVAL, () -> onEvent(new FailoverEvent.TimePassed()));
        onView.accept(state.publishedView());
        onEvent(new FailoverEvent.TimePassed());
    }

    void close() {
        closed = true;
        tickTimer.cancel(false);
        waiters.close();
        log.infof("failover: group %s: supervision stopped", state.group().name());
    }

    GroupState state() {
        return state;
    }

    DurabilityWaiters waiters() {
        return waiters;
    }

    long positionOf(BackendServer server) {
        BackendStatus status = state.view().statuses().get(server.name());
        return status == null ? 0 : status.position();
    }

    void onEvent(FailoverEvent event) {
        if (closed) {
            return;
        }
        GroupView before = state.publishedView();
        Transition<GroupState, FailoverEffect> transition = decide(event);
        state = transition.state();
        GroupView after = state.publishedView();
        boolean viewChanged = !after.equals(before);
        if (viewChanged) {
            onView.accept(after);
        }
        transition.effects().forEach(this::execute);
        waiters.stateChanged(viewChanged);
    }

    /** Requests a status report in addition to the regular polls. */
    CompletableFuture<BackendStatus> requestReport(BackendServer server, long awaitedPosition, Duration maximumWait) {
        return resources
                .backends()
                .status(server, awaitedPosition, maximumWait)
                .whenCompleteAsync(
                        (status, failure) -> {
                            if (failure == null) {
                                onEvent(new FailoverEvent.StatusReceived(status));
                            }
                        },
                        resources.control());
    }

    private Transition<GroupState, FailoverEffect> decide(FailoverEvent event) {
        try {
            return FailoverDecision.decide(state, event, resources.clock().instant());
        } catch (InvariantViolation e) {
            log.errorf(
                    e, "failover: group %s: invariant violated", state.group().name());
            throw e;
        }
    }

    private void execute(FailoverEffect effect) {
        switch (effect) {
            case FailoverEffect.RequestStatus request -> poll(request);
            case FailoverEffect.Announce announce -> announce(announce.announced());
            case FailoverEffect.Publish publish -> publish(publish.completed());
            case FailoverEffect.Fence fence -> fence(fence.backendServer(), fence.term());
            case FailoverEffect.Promote promote -> promote(promote.backendServer(), promote.term());
            case FailoverEffect.Follow follow -> follow(follow);
            case FailoverEffect.Report report ->
                log.infof("failover: group %s: %s", state.group().name(), report.message());
        }
    }

    /** Ignores failed calls, because the failover decision repeats calls that stay unanswered. */
    private <T> void onReply(CompletableFuture<T> answer, String call, Consumer<T> action) {
        var unused = answer.whenCompleteAsync(
                (value, failure) -> {
                    if (failure == null) {
                        action.accept(value);
                    } else {
                        log.debugf(
                                "failover: group %s: %s failed", state.group().name(), call);
                    }
                },
                resources.control());
    }

    private void poll(FailoverEffect.RequestStatus request) {
        Instant sentAt = resources.clock().instant();
        onReply(
                resources.backends().status(find(request.backendServer()), UNREACHABLE_POSITION, request.maximumWait()),
                "status",
                status -> onPollReply(request.poll(), sentAt, status));
    }

    /** Applies an early reply at once but delays the next poll until the minimum interval has passed. */
    private void onPollReply(long poll, Instant sentAt, BackendStatus status) {
        Duration elapsed = Duration.between(sentAt, resources.clock().instant());
        Duration pause = MINIMUM_POLL_INTERVAL.minus(elapsed);
        FailoverEvent answered = new FailoverEvent.PollAnswered(poll, status);
        if (pause.isNegative() || pause.isZero()) {
            onEvent(answered);
        } else {
            onEvent(new FailoverEvent.StatusReceived(status));
            var unused = resources.after(pause, () -> onEvent(answered));
        }
    }

    private void announce(GroupRecord announced) {
        var unused = records.put(announced)
                .whenCompleteAsync(
                        (recordTerm, failure) -> onEvent(
                                failure == null
                                        ? new FailoverEvent.AnnouncementAnswered(announced.term(), recordTerm)
                                        : new FailoverEvent.AnnouncementFailed(announced.term())),
                        resources.control());
    }

    private void publish(GroupRecord completed) {
        onReply(records.put(completed), "publication of the group record", recordTerm -> {});
    }

    private void fence(BackendServerName server, Term term) {
        onReply(
                resources.backends().fence(find(server), term),
                "fence of " + server,
                result -> onEvent(new FailoverEvent.FenceAnswered(term, result.accepted(), result.status())));
    }

    private void promote(BackendServerName server, Term term) {
        onReply(
                resources.backends().promote(find(server), term),
                "promotion of " + server,
                result -> onEvent(
                        new FailoverEvent.PromotionAnswered(server, term, result.accepted(), result.startPosition())));
    }

    private void follow(FailoverEffect.Follow follow) {
        onReply(
                resources.backends().follow(find(follow.backendServer()), follow.term(), find(follow.primary())),
                "follow by " + follow.backendServer(),
                accepted -> log.debugf(
                        "failover: group %s: %s follows %s: %s",
                        state.group().name(), follow.backendServer(), follow.primary(), accepted));
    }

    private BackendServer find(BackendServerName name) {
        return state.group().findBackendServer(name).orElseThrow();
    }
}
