package org.geraniumproxy.engine.traffic;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.geraniumproxy.core.memory.MemoryBudget;
import org.geraniumproxy.core.memory.MemoryDecision;
import org.geraniumproxy.core.memory.MemoryHolder;

/**
 * Sums up the memory that connections report and carries out the decisions of a {@link MemoryBudget}. Reading stops
 * within the report that exceeds the budget; connections are closed after the current step.
 */
final class HeldMemory {
    /** Growth after which a decision is made again, as a part of the budget; each decision looks at all holders. */
    private static final int GROWTH_DIVISOR = 64;

    /** Connection that makes the process hold memory. */
    interface Holder {
        /** Returns what the connection holds now. */
        MemoryHolder describe(long id);

        void pauseReading(boolean paused);

        /** Closes the connection because all connections together hold too much. */
        void closeForMemory(long totalBytes);

        /** Closes the connection if its peer has made no progress for too long. */
        void closeIfStalled(Instant now);
    }

    private final MemoryBudget budget;
    private final Supplier<Instant> now;
    private final Executor nextStep;
    private final Map<Long, Holder> holders = new HashMap<>();
    private final Map<Long, Long> reportedBytes = new HashMap<>();
    private Set<Long> paused = new HashSet<>();
    private long total;
    private long lastDecisionTotal;
    private long lastId;

    /**
     * Creates an empty account.
     *
     * @param nextStep runs the closing of connections after the current step
     */
    HeldMemory(MemoryBudget budget, Supplier<Instant> now, Executor nextStep) {
        this.budget = budget;
        this.now = now;
        this.nextStep = nextStep;
    }

    MemoryBudget budget() {
        return budget;
    }

    long total() {
        return total;
    }

    int pausedCount() {
        return paused.size();
    }

    /** Returns an identifier for the reports of a connection. */
    long nextId() {
        lastId++;
        return lastId;
    }

    /** Records how much a connection holds. With 0 bytes, it is forgotten. */
    void report(long id, Holder holder, long bytes) {
        if (bytes == 0) {
            if (!holders.containsKey(id)) {
                return;
            }
            holders.remove(id);
            total -= removed(reportedBytes.remove(id));
            lastDecisionTotal = Math.min(lastDecisionTotal, total);
            if (paused.remove(id)) {
                holder.pauseReading(false);
            }
            return;
        }
        holders.put(id, holder);
        total += bytes - removed(reportedBytes.put(id, bytes));
        lastDecisionTotal = Math.min(lastDecisionTotal, total);
        if (total > budget.pauseBytes() && total - lastDecisionTotal > budget.pauseBytes() / GROWTH_DIVISOR) {
            decide();
        }
    }

    /** Ends stalled messages and replies, and decides again with the time that has passed. */
    void onTick() {
        Instant time = now.get();
        List.copyOf(holders.values()).forEach(holder -> holder.closeIfStalled(time));
        decide();
    }

    private static long removed(Long bytes) {
        return bytes == null ? 0 : bytes;
    }

    private void decide() {
        if (total <= budget.pauseBytes() && paused.isEmpty()) {
            lastDecisionTotal = 0;
            return;
        }
        lastDecisionTotal = total;
        List<MemoryHolder> described = new ArrayList<>();
        holders.forEach((id, holder) -> described.add(holder.describe(id)));
        MemoryDecision decision = budget.decide(described, now.get());
        Set<Long> before = paused;
        paused = new HashSet<>(decision.paused());
        before.stream().filter(id -> !paused.contains(id)).forEach(id -> pauseReading(id, false));
        paused.forEach(id -> pauseReading(id, true));
        if (!decision.closed().isEmpty()) {
            long totalBytes = total;
            nextStep.execute(() -> close(decision.closed(), totalBytes));
        }
    }

    private void pauseReading(long id, boolean pause) {
        Holder holder = holders.get(id);
        if (holder != null) {
            holder.pauseReading(pause);
        }
    }

    private void close(List<Long> ids, long totalBytes) {
        for (long id : ids) {
            Holder holder = holders.get(id);
            if (holder != null && holder.describe(id).closable()) {
                holder.closeForMemory(totalBytes);
            }
        }
    }
}
