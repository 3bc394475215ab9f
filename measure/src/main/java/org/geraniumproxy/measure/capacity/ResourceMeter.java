package org.geraniumproxy.measure.capacity;

import java.util.Arrays;
import java.util.function.Supplier;

/** Measures the time and the memory of pure functions on the calling thread. */
final class ResourceMeter {
    private static final int WARM_UP_ROUNDS = 5;
    private static final int ROUNDS = 9;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final double BYTES_PER_KILOBYTE = 1_000;

    /**
     * Returns the median time per call in microseconds, over nine rounds of the given number of calls after warm-up.
     */
    double medianMicrosPerCall(int callsPerRound, Supplier<?> call) {
        long checksum = 0;
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            checksum += run(callsPerRound, call);
        }
        double[] micros = new double[ROUNDS];
        for (int round = 0; round < ROUNDS; round++) {
            long start = System.nanoTime();
            checksum += run(callsPerRound, call);
            micros[round] = (System.nanoTime() - start) / NANOS_PER_MICRO / callsPerRound;
        }
        Arrays.sort(micros);
        return checksum < 0 ? Double.NaN : micros[ROUNDS / 2];
    }

    /** Returns the heap retained by the result of a call, in kilobytes of 1,000 bytes. */
    double retainedKilobytes(Supplier<?> call) {
        long before = usedHeap();
        Object result = call.get();
        long after = usedHeap();
        // Using the result after the second reading keeps it reachable until then.
        long alive = Math.min(0, System.identityHashCode(result));
        return (after - before + alive) / BYTES_PER_KILOBYTE;
    }

    /** Returns a checksum of the results, which prevents the compiler from eliminating the calls. */
    private long run(int calls, Supplier<?> call) {
        long checksum = 0;
        for (int index = 0; index < calls; index++) {
            checksum += System.identityHashCode(call.get());
        }
        return checksum;
    }

    private static long usedHeap() {
        Runtime runtime = Runtime.getRuntime();
        long used = Long.MAX_VALUE;
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            System.gc();
            used = Math.min(used, runtime.totalMemory() - runtime.freeMemory());
        }
        return used;
    }
}
