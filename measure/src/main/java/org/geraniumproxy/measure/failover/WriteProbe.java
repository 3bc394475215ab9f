package org.geraniumproxy.measure.failover;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.geraniumproxy.measure.bench.Deployment;
import org.geraniumproxy.measure.bench.RunningDeployment;
import org.geraniumproxy.measure.load.CallerSession;
import org.geraniumproxy.measure.load.LoadRecorder;
import org.geraniumproxy.measure.load.Operation;
import org.geraniumproxy.measure.load.ProxyChannels;
import org.geraniumproxy.measure.load.RequestOptions;

/** Writes to every group continuously, so that each period without service is recorded. */
public final class WriteProbe implements AutoCloseable {
    /** With several writers, some can write while the calls of others to a failed primary wait for their timeout. */
    private static final int WRITERS_PER_GROUP = 4;

    /** Pause between consecutive writes of one writer. */
    private static final Duration WRITE_INTERVAL = Duration.ofMillis(50);

    /** Short, so that a writer retries soon after a failover. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);

    private final List<Thread> writers = new ArrayList<>();
    private final ProxyChannels proxies;

    private WriteProbe(ProxyChannels proxies) {
        this.proxies = proxies;
    }

    /**
     * Starts the writers.
     *
     * @param running deployment to write to
     * @param seed determines the proxies that writers choose
     * @param clock source of the recorded times
     * @param recorder receives a record of each write
     * @return the probe, which writes until it is closed
     */
    public static WriteProbe start(RunningDeployment running, long seed, Clock clock, LoadRecorder recorder) {
        WriteProbe probe = new WriteProbe(running.openProxies());
        SplittableRandom random = new SplittableRandom(seed);
        Deployment.CustomerProfile customer = running.deployment().customers().get(1);
        for (String group : running.deployment().groups()) {
            for (int number = 0; number < WRITERS_PER_GROUP; number++) {
                String name = "probe-" + group + "-" + number;
                CallerSession.Identity identity = new CallerSession.Identity(
                        name, customer.name(), running.keys().get(customer.name()));
                CallerSession session = new CallerSession(identity, probe.proxies, random.split(), clock, recorder);
                RequestOptions options = RequestOptions.of(running.deployment().singleGroupRoute(group), group)
                        .withTimeouts(CALL_TIMEOUT, CALL_TIMEOUT);
                probe.writers.add(Thread.ofVirtual().name(name).start(() -> write(session, name, options)));
            }
        }
        return probe;
    }

    /** Interrupts the writers and waits until they have ended. */
    @Override
    public void close() {
        writers.forEach(Thread::interrupt);
        try {
            for (Thread writer : writers) {
                writer.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        proxies.close();
    }

    private static void write(CallerSession session, String name, RequestOptions options) {
        try {
            for (long number = 1; !Thread.currentThread().isInterrupted(); number++) {
                session.run(new Operation.AddOnce(name + "/" + number), options);
                Thread.sleep(WRITE_INTERVAL);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
