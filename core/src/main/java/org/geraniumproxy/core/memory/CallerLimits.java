package org.geraniumproxy.core.memory;

import java.time.Duration;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Limits of the connections of callers. No caller that sends one message of legal size at a time and reads the answers
 * meets them.
 *
 * @param budget bounds of the memory that connections hold
 * @param connections most connections of callers at a time
 * @param queuedBytes bytes of messages sent ahead from which a connection is not read
 * @param pendingOutputBytes bytes of unread replies from which no further message of a connection is handled
 * @param messageStall longest time without a byte after a message has begun
 * @param outputStall longest time in which a caller accepts no byte of pending replies
 * @param silenceBeforeConnect longest time without any byte on a connection that has just been accepted
 */
public record CallerLimits(
        MemoryBudget budget,
        int connections,
        int queuedBytes,
        int pendingOutputBytes,
        Duration messageStall,
        Duration outputStall,
        Duration silenceBeforeConnect) {
    /**
     * Longer than callers wait for an answer (2 s to be accepted, seconds for a statement), and than TCP needs to send
     * a lost segment again several times.
     */
    private static final Duration STALL = Duration.ofSeconds(10);

    /**
     * Descriptors that are not for callers: a quarter for connections to databases, peers and the store, and those that
     * the JVM opens itself.
     */
    private static final double CALLER_DESCRIPTORS = 0.75;

    private static final int OWN_DESCRIPTORS = 64;

    /** Heap that a connection without data takes, with its session, buffers and selection key, at most. */
    private static final int IDLE_CONNECTION_BYTES = 8 * 1024;

    private static final int FEWEST_CONNECTIONS = 16;

    /**
     * Derives the limits from those of the process.
     *
     * @param heapBytes maximum size of the heap
     * @param machineBytes memory of the machine, or empty if it is not known
     * @param descriptors file descriptors that the process may open, or empty if the number is not known
     * @return the limits
     */
    public static CallerLimits of(long heapBytes, OptionalLong machineBytes, OptionalInt descriptors) {
        int byHeap = (int) Math.min(Integer.MAX_VALUE, heapBytes / IDLE_CONNECTION_BYTES);
        int byDescriptors = descriptors.isPresent()
                ? (int) (descriptors.getAsInt() * CALLER_DESCRIPTORS) - OWN_DESCRIPTORS
                : byHeap;
        return new CallerLimits(
                MemoryBudget.of(heapBytes, machineBytes),
                Math.max(FEWEST_CONNECTIONS, Math.min(byHeap, byDescriptors)),
                MemoryBudget.MAXIMUM_MESSAGE_BYTES,
                MemoryBudget.MAXIMUM_MESSAGE_BYTES,
                STALL,
                STALL,
                STALL);
    }
}
