package org.geraniumproxy.core.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.control.Transition;

/**
 * Simulates concurrent applies over a network that delays, loses, duplicates and reorders calls. The simulated time and
 * the seed make each run reproducible.
 */
final class ApplySimulation {
    private static final int OPERATORS = 3;
    private static final int APPLIES_PER_OPERATOR = 4;
    private static final int MAXIMUM_DELAY_MILLIS = 300;
    private static final int CALL_TIMEOUT_MILLIS = 150;
    private static final int DEADLINE_MILLIS = 3000;
    private static final int RETRY_DELAY_MILLIS = 100;

    /** Longer than the deadline, so that some applies never reach the store. */
    private static final int OUTAGE_MILLIS = 4000;

    private static final double LOSS_PROBABILITY = 0.15;
    private static final double DUPLICATION_PROBABILITY = 0.1;

    private final Random random;
    private final Decision decision;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::number));
    private final Map<String, ApplyState> states = new HashMap<>();
    private final List<Manifest> history = new ArrayList<>();
    private final Map<String, Integer> endStateCounts = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final int outageStartMillis;
    private StoredManifest stored = StoredManifest.ABSENT;
    private long nowMillis;
    private long taskCount;

    private ApplySimulation(long seed, Decision decision) {
        this.random = new Random(seed);
        this.decision = decision;
        this.outageStartMillis = random.nextInt(6000);
    }

    static Result run(long seed, Decision decision) {
        return new ApplySimulation(seed, decision).run();
    }

    private Result run() {
        for (int operator = 0; operator < OPERATORS; operator++) {
            for (int apply = 0; apply < APPLIES_PER_OPERATOR; apply++) {
                String identifier = "operator-" + operator + "-apply-" + apply;
                schedule(random.nextInt(4000), () -> startApply(identifier));
            }
        }
        while (!tasks.isEmpty()) {
            Task task = tasks.poll();
            nowMillis = task.atMillis();
            task.action().run();
        }
        checkEndStates();
        return new Result(List.copyOf(violations), Map.copyOf(endStateCounts));
    }

    /** Starts an apply that is based on the revision that is active now. */
    private void startApply(String identifier) {
        long base = stored.manifest().revision();
        ApplyRequest request = new ApplyRequest(identifier, base, KeyDigest.sha256(identifier));
        schedule(DEADLINE_MILLIS, () -> deliver(identifier, new ApplyEvent.DeadlineReached()));
        accept(identifier, ApplyDecision.start(request));
    }

    private void deliver(String identifier, ApplyEvent event) {
        try {
            accept(identifier, decision.decide(states.get(identifier), event));
        } catch (InvariantViolation violation) {
            violations.add(identifier + ": " + violation.getMessage());
        }
    }

    private void accept(String identifier, Transition<ApplyState, ApplyEffect> transition) {
        states.put(identifier, transition.state());
        transition.effects().forEach(effect -> perform(identifier, effect));
    }

    private void perform(String identifier, ApplyEffect effect) {
        switch (effect) {
            case ApplyEffect.ReadManifest() -> call(identifier, this::read);
            case ApplyEffect.Delayed(ApplyEffect later) ->
                schedule(RETRY_DELAY_MILLIS, () -> perform(identifier, later));
            case ApplyEffect.WriteContent ignored ->
                call(identifier, reply -> reply.accept(new ApplyEvent.ContentWritten()));
            case ApplyEffect.SwapManifest swap -> call(identifier, reply -> swap(swap, reply));
        }
    }

    private void read(Consumer<ApplyEvent> reply) {
        reply.accept(new ApplyEvent.ManifestRead(stored));
    }

    private void swap(ApplyEffect.SwapManifest swap, Consumer<ApplyEvent> reply) {
        if (stored.storeRevision() != swap.expectedStoreRevision()) {
            reply.accept(new ApplyEvent.SwapConflicted(stored));
            return;
        }
        if (history.stream()
                .anyMatch(earlier ->
                        earlier.applyIdentifier().equals(swap.manifest().applyIdentifier()))) {
            violations.add("applied twice: " + swap.manifest());
        }
        stored = new StoredManifest(stored.storeRevision() + 7, swap.manifest());
        history.add(swap.manifest());
        reply.accept(new ApplyEvent.SwapSucceeded());
    }

    private void call(String identifier, Consumer<Consumer<ApplyEvent>> storeCall) {
        schedule(CALL_TIMEOUT_MILLIS, () -> deliver(identifier, new ApplyEvent.ReplyLost()));
        int copies = random.nextDouble() < DUPLICATION_PROBABILITY ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (isDelivered()) {
                schedule(
                        random.nextInt(MAXIMUM_DELAY_MILLIS),
                        () -> storeCall.accept(event -> reply(identifier, event)));
            }
        }
    }

    private void reply(String identifier, ApplyEvent event) {
        if (isDelivered()) {
            schedule(random.nextInt(MAXIMUM_DELAY_MILLIS), () -> deliver(identifier, event));
        }
    }

    private boolean isDelivered() {
        boolean isOutage = nowMillis >= outageStartMillis && nowMillis < outageStartMillis + OUTAGE_MILLIS;
        return random.nextDouble() >= LOSS_PROBABILITY && !isOutage;
    }

    private void checkEndStates() {
        states.forEach((identifier, state) -> {
            endStateCounts.merge(state.getClass().getSimpleName(), 1, Integer::sum);
            boolean wasApplied = history.stream()
                    .anyMatch(manifest -> manifest.applyIdentifier().equals(identifier));
            boolean isCorrect = switch (state) {
                case ApplyState.Applied ignored -> wasApplied;
                case ApplyState.Conflicted ignored -> !wasApplied;
                case ApplyState.NotApplied() -> !wasApplied;
                case ApplyState.OutcomeUnknown ignored -> true;
                case ApplyState.InProgress ignored -> false;
            };
            if (!isCorrect) {
                violations.add(identifier + " ended as " + state + ", applied: " + wasApplied);
            }
        });
    }

    private void schedule(long delayMillis, Runnable action) {
        tasks.add(new Task(nowMillis + delayMillis, taskCount++, action));
    }

    /** The decision under test. */
    @FunctionalInterface
    interface Decision {
        Transition<ApplyState, ApplyEffect> decide(ApplyState state, ApplyEvent event);
    }

    record Result(List<String> violations, Map<String, Integer> endStateCounts) {}

    private record Task(long atMillis, long number, Runnable action) {}
}
