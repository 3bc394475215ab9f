package org.geraniumproxy.core.memory;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Bounds of the memory that all connections together make the process hold. Above {@code pauseBytes}, nothing is read
 * from the callers that hold most; above {@code closeBytes}, the largest and slowest of them are closed, and nothing is
 * read from the databases with the longest replies until that has helped.
 *
 * @param pauseBytes total from which reading stops on the connections that hold most
 * @param closeBytes total above which connections are closed
 * @param connectionBytes most that one connection may hold
 */
public record MemoryBudget(long pauseBytes, long closeBytes, long connectionBytes) {
    /** Maximum size of a message of the protocol. */
    public static final int MAXIMUM_MESSAGE_BYTES = 1024 * 1024;

    /**
     * Parts of the heap. The state of the node and the garbage of the message in progress need the rest; with the
     * serial collector, a third of the heap is the young generation, which cannot be filled.
     */
    private static final int PAUSE_DIVISOR = 4;

    private static final int CLOSE_DIVISOR = 3;

    /** Part of the machine's memory that the heap counts for at most. The rest is for the JVM and the kernel. */
    private static final int MACHINE_DIVISOR = 3;

    /**
     * Messages of the maximum size that one connection may hold: a statement counts four times while it runs, the next
     * one may be arriving, a reply be pending and another one be stored in the session.
     */
    private static final int CONNECTION_MESSAGES = 8;

    /**
     * Time for which one of the paused connections may continue, in turns, so that messages of legal size become
     * complete one at a time. One message of the maximum size takes 0.1 s at 10 MB/s.
     */
    private static final Duration TURN = Duration.ofMillis(200);

    /**
     * Derives the bounds from the limits of the process.
     *
     * @param heapBytes maximum size of the heap
     * @param machineBytes memory of the machine, or empty if it is not known
     * @return the budget
     */
    public static MemoryBudget of(long heapBytes, OptionalLong machineBytes) {
        long usable =
                machineBytes.isPresent() ? Math.min(heapBytes, machineBytes.getAsLong() / MACHINE_DIVISOR) : heapBytes;
        return new MemoryBudget(
                usable / PAUSE_DIVISOR,
                usable / CLOSE_DIVISOR,
                Math.max(usable / PAUSE_DIVISOR / 2, (long) CONNECTION_MESSAGES * MAXIMUM_MESSAGE_BYTES));
    }

    /**
     * Decides from which connections nothing is read and which ones are closed.
     *
     * @param holders connections that hold memory
     * @param now present moment, on the clock of the holders
     * @return the decision, which replaces the previous one
     */
    public MemoryDecision decide(Collection<MemoryHolder> holders, Instant now) {
        long total = holders.stream().mapToLong(MemoryHolder::bytes).sum();
        if (total <= pauseBytes) {
            return MemoryDecision.CALM;
        }
        List<MemoryHolder> largest = largestBeyondHalf(holders);
        Set<Long> paused = new HashSet<>(largest.stream().map(MemoryHolder::id).toList());
        if (total <= closeBytes) {
            // The deadline of a statement may pass while its reply waits, so replies wait last.
            holders.stream()
                    .filter(holder -> holder.kind() == MemoryHolder.Kind.DATABASE)
                    .forEach(holder -> paused.remove(holder.id()));
            nextTurn(largest, now).forEach(holder -> paused.remove(holder.id()));
            return new MemoryDecision(paused, List.of());
        }
        List<Long> closed = toClose(holders, total, now);
        closed.forEach(paused::remove);
        return new MemoryDecision(paused, closed);
    }

    /** Returns the holders that remain when the smallest ones have taken half of the bytes below the pause. */
    private List<MemoryHolder> largestBeyondHalf(Collection<MemoryHolder> holders) {
        List<MemoryHolder> ascending = holders.stream()
                .sorted(Comparator.comparingLong(MemoryHolder::bytes).thenComparingLong(MemoryHolder::id))
                .toList();
        long taken = 0;
        int count = 0;
        for (MemoryHolder holder : ascending) {
            taken += holder.bytes();
            if (taken > pauseBytes / 2) {
                break;
            }
            count++;
        }
        return ascending.subList(count, ascending.size());
    }

    private static Stream<MemoryHolder> nextTurn(List<MemoryHolder> paused, Instant now) {
        List<MemoryHolder> receiving = paused.stream()
                .filter(holder -> holder.receivesMessage() && holder.kind() == MemoryHolder.Kind.CALLER)
                .toList();
        if (receiving.isEmpty()) {
            return Stream.empty();
        }
        long turn = now.toEpochMilli() / TURN.toMillis();
        return Stream.of(receiving.get((int) Math.floorMod(turn, (long) receiving.size())));
    }

    private List<Long> toClose(Collection<MemoryHolder> holders, long total, Instant now) {
        List<MemoryHolder> candidates = holders.stream()
                .filter(MemoryHolder::closable)
                .sorted(Comparator.comparingDouble((MemoryHolder holder) -> -sizeTimesDelay(holder, now))
                        .thenComparingLong(MemoryHolder::id))
                .toList();
        long remaining = total;
        int count = 0;
        while (remaining > pauseBytes && count < candidates.size()) {
            remaining -= candidates.get(count).bytes();
            count++;
        }
        return candidates.subList(0, count).stream().map(MemoryHolder::id).toList();
    }

    /** Ranks connections by size, and a slow one as if it were larger by its size for each second without progress. */
    private static double sizeTimesDelay(MemoryHolder holder, Instant now) {
        double secondsWithoutProgress =
                Duration.between(holder.lastProgressAt(), now).toMillis() / 1000.0;
        return holder.bytes() * (1 + secondsWithoutProgress);
    }
}
