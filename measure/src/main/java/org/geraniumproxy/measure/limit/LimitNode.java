package org.geraniumproxy.measure.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.CustomerLimit;
import org.geraniumproxy.core.limit.LimitTiming;
import org.geraniumproxy.core.limit.LimitView;
import org.geraniumproxy.core.limit.RateEffect;
import org.geraniumproxy.core.limit.RateEvent;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.Vm;

/** Simulated VM with the production limit, its own view, and a clock with its own offset. */
final class LimitNode {
    private final Vm vm;
    private final Duration clockOffset;
    private final LimitTiming timing;
    private CustomerLimit limit;
    private Roster roster = Roster.EMPTY;
    private List<VmName> holders = List.of();
    private Optional<Instant> provenAt = Optional.empty();
    private Instant pausedUntil = Instant.MIN;
    private Instant isolatedUntil = Instant.MIN;
    private final List<Runnable> deferredActions = new ArrayList<>();
    private int incarnation;

    LimitNode(Vm vm, Duration clockOffset, LimitTiming timing, Instant now) {
        this.vm = vm;
        this.clockOffset = clockOffset;
        this.timing = timing;
        this.limit = CustomerLimit.initial(timing, 1, localTime(now));
    }

    Vm vm() {
        return vm;
    }

    Transition<CustomerLimit, RateEffect> apply(RateEvent event, LimitView view, Instant now) {
        Transition<CustomerLimit, RateEffect> transition = limit.on(event, view, localTime(now));
        limit = transition.state();
        return transition;
    }

    Instant localTime(Instant now) {
        return now.plus(clockOffset);
    }

    Duration timeUntilWakeUp(Instant now) {
        return Duration.between(localTime(now), limit.nextWakeAt(localTime(now)));
    }

    List<VmName> holders() {
        return holders;
    }

    Optional<Instant> provenAt() {
        return provenAt;
    }

    /** Applies the result of a view exchange that started at the given simulated time; older rosters are ignored. */
    void updateView(Roster newest, List<VmName> newestHolders, Instant startedAt) {
        if (newest.revision() >= roster.revision()) {
            roster = newest;
            holders = newestHolders;
            Instant proof = localTime(startedAt);
            provenAt =
                    Optional.of(provenAt.filter(known -> known.isAfter(proof)).orElse(proof));
        }
    }

    /** Simulates a restart of the process, which loses all of its state. */
    void restart(Instant now) {
        incarnation++;
        limit = CustomerLimit.initial(timing, incarnation * 1_000_000_000L, localTime(now));
        roster = Roster.EMPTY;
        holders = List.of();
        provenAt = Optional.empty();
        deferredActions.clear();
    }

    int incarnation() {
        return incarnation;
    }

    void pauseUntil(Instant moment) {
        pausedUntil = moment;
    }

    boolean isPaused(Instant now) {
        return now.isBefore(pausedUntil);
    }

    /** Defers an action until the pause ends. */
    void defer(Runnable action) {
        deferredActions.add(action);
    }

    void runDeferredActions() {
        List<Runnable> actions = List.copyOf(deferredActions);
        deferredActions.clear();
        actions.forEach(Runnable::run);
    }

    void isolateUntil(Instant moment) {
        isolatedUntil = moment;
    }

    boolean isIsolated(Instant now) {
        return now.isBefore(isolatedUntil);
    }
}
