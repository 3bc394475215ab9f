package org.geraniumproxy.core.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;

/** VM that runs the production state machine over simulated messages and forwards writes of callers to the primary. */
final class SimulatedSupervisor {
    private static final Duration WRITE_DEADLINE = Duration.ofSeconds(3);

    private record PendingWrite(long write, LogPosition position, BackendServerName primary, Instant deadline) {}

    private final String name;
    private final int index;
    private final SimulatedGroup group;
    private final Duration clockOffset;
    private final List<Runnable> deferredActions = new ArrayList<>();
    private final Map<Long, PendingWrite> pending = new HashMap<>();
    private int rank;
    private GroupState state;
    private boolean paused;
    private int incarnation;

    SimulatedSupervisor(int index, int rank, SimulatedGroup group, Random random) {
        this.name = "vm-" + index;
        this.index = index;
        this.rank = rank;
        this.group = group;
        this.clockOffset = Duration.ofMillis(random.nextInt(1_000_000));
        restart();
        tick();
    }

    String name() {
        return name;
    }

    GroupState state() {
        return state;
    }

    void restart() {
        state = GroupState.initial(
                DatabaseFixtures.GROUP, DatabaseFixtures.vm(index), rank, DetectionPolicy.adaptive());
        pending.clear();
        incarnation++;
    }

    void setRank(int newRank) {
        rank = newRank;
        onEvent(new FailoverEvent.RankChanged(newRank));
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        List<Runnable> delayed = List.copyOf(deferredActions);
        deferredActions.clear();
        delayed.forEach(Runnable::run);
    }

    /** Sends a caller's write to the primary, if this VM knows one. */
    void write(long write) {
        GroupView view = state.publishedView();
        if (paused || view.primary().isEmpty()) {
            return;
        }
        FakeDatabase primary = group.database(view.primary().get());
        Term term = view.term();
        Instant deadline = now().plus(WRITE_DEADLINE);
        int senderIncarnation = incarnation;
        send(
                primary,
                () -> primary.commit(term.number(), write).ifPresent(position -> {
                    LogPosition committed = new LogPosition(term, position);
                    PendingWrite answered = new PendingWrite(write, committed, primary.name(), deadline);
                    reply(primary, () -> onCommitted(answered), senderIncarnation);
                }));
    }

    private void onCommitted(PendingWrite write) {
        pending.put(write.write(), write);
        acknowledgePending();
        for (BackendServerName replica : DatabaseFixtures.NAMES) {
            for (int delay : new int[] {0, 50}) {
                group.scheduler()
                        .schedule(
                                delay, () -> requestStatus(replica, Duration.ZERO, FailoverEvent.StatusReceived::new));
            }
        }
    }

    private void acknowledgePending() {
        pending.values().removeIf(write -> now().isAfter(write.deadline()));
        pending.values().removeIf(write -> {
            WriteAcknowledgement.Decision decision = WriteAcknowledgement.evaluate(
                    state.group(), state.view().term(), state.view().statuses().values(), write.position(), now());
            if (decision == WriteAcknowledgement.Decision.ACKNOWLEDGE) {
                group.recordAcknowledgement(write.write(), write.position(), write.primary());
            }
            return decision != WriteAcknowledgement.Decision.WAIT;
        });
    }

    private void tick() {
        group.scheduler().schedule(FailoverTiming.TICK_INTERVAL.toMillis(), this::tick);
        if (!paused) {
            onEvent(new FailoverEvent.TimePassed());
        }
    }

    private void onEvent(FailoverEvent event) {
        if (paused) {
            deferredActions.add(() -> onEvent(event));
            return;
        }
        Transition<GroupState, FailoverEffect> transition = FailoverDecision.decide(state, event, now());
        state = transition.state();
        transition.effects().forEach(this::execute);
        acknowledgePending();
    }

    private void execute(FailoverEffect effect) {
        switch (effect) {
            case FailoverEffect.RequestStatus request ->
                requestStatus(
                        request.backendServer(),
                        request.maximumWait(),
                        status -> new FailoverEvent.PollAnswered(request.poll(), status));
            case FailoverEffect.Announce announce ->
                group.store()
                        .put(
                                name,
                                announce.announced(),
                                ignoringStaleReplies(recordTerm -> onEvent(new FailoverEvent.AnnouncementAnswered(
                                        announce.announced().term(), recordTerm))));
            case FailoverEffect.Publish publish -> group.store().put(name, publish.completed(), recordTerm -> {});
            case FailoverEffect.Fence fence -> fence(group.database(fence.backendServer()), fence.term());
            case FailoverEffect.Promote promote -> promote(group.database(promote.backendServer()), promote.term());
            case FailoverEffect.Follow follow -> {
                FakeDatabase replica = group.database(follow.backendServer());
                FakeDatabase primary = group.database(follow.primary());
                send(replica, () -> replica.follow(follow.term().number(), primary));
            }
            case FailoverEffect.Report report -> group.addReport(name, report.message());
        }
    }

    private void requestStatus(
            BackendServerName target, Duration maximumWait, Function<BackendStatus, FailoverEvent> toEvent) {
        FakeDatabase database = group.database(target);
        Instant sentAt = now();
        int senderIncarnation = incarnation;
        send(
                database,
                () -> group.scheduler().schedule(maximumWait.toMillis(), () -> {
                    BackendStatus status = database.status(sentAt);
                    reply(database, () -> onEvent(toEvent.apply(status)), senderIncarnation);
                }));
    }

    private void fence(FakeDatabase database, Term term) {
        Instant sentAt = now();
        int senderIncarnation = incarnation;
        send(database, () -> {
            boolean accepted = database.fence(term.number());
            BackendStatus status = database.status(sentAt);
            reply(database, () -> onEvent(new FailoverEvent.FenceAnswered(term, accepted, status)), senderIncarnation);
        });
    }

    private void promote(FakeDatabase database, Term term) {
        int senderIncarnation = incarnation;
        send(database, () -> {
            boolean wasPrimary = database.isPrimary();
            OptionalLong start = database.promote(term.number());
            if (start.isPresent() && !wasPrimary) {
                group.recordPromotion(database, term);
            }
            FailoverEvent answer =
                    new FailoverEvent.PromotionAnswered(database.name(), term, start.isPresent(), start.orElse(0));
            reply(database, () -> onEvent(answer), senderIncarnation);
        });
    }

    private void send(FakeDatabase to, Runnable delivery) {
        group.network().send(name, to.name().value(), delivery);
    }

    private void reply(FakeDatabase from, Runnable delivery, int senderIncarnation) {
        group.network().send(from.name().value(), name, () -> receive(delivery, senderIncarnation));
    }

    private void receive(Runnable delivery, int senderIncarnation) {
        if (paused) {
            deferredActions.add(() -> receive(delivery, senderIncarnation));
        } else if (senderIncarnation == incarnation) {
            delivery.run();
        }
    }

    /** Drops replies to requests that were sent before a restart. */
    private Consumer<Term> ignoringStaleReplies(Consumer<Term> onReply) {
        int senderIncarnation = incarnation;
        return recordTerm -> {
            if (senderIncarnation == incarnation) {
                onReply.accept(recordTerm);
            }
        };
    }

    private Instant now() {
        return group.scheduler().clock(clockOffset);
    }
}
