package org.geraniumproxy.measure.demo;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.geraniumproxy.measure.bench.Deployment;
import org.geraniumproxy.measure.bench.RunningDeployment;
import org.geraniumproxy.measure.load.CallerSession;
import org.geraniumproxy.measure.load.LoadRecorder;
import org.geraniumproxy.measure.load.ProxyChannels;

/** Load of all customers of a deployment. A seed determines the start times and the choice of proxies. */
final class DemoLoad implements AutoCloseable {
    /** Each session makes one request at a time. */
    private static final int SESSIONS_PER_CUSTOMER = 4;

    /** Request rate of an ordinary customer, as a multiple of its configured rate. */
    private static final double NORMAL_RATE_FACTOR = 0.4;

    /** Request rate of the excessive customer, as a multiple of its configured rate. */
    private static final double EXCESSIVE_RATE_FACTOR = 8;

    private final List<Thread> sessions = new ArrayList<>();
    private final RunningDeployment running;
    private final ProxyChannels proxies;
    private final LoadRecorder recorder;
    private final Clock clock;

    private DemoLoad(RunningDeployment running, Clock clock, LoadRecorder recorder) {
        this.running = running;
        this.proxies = running.openProxies();
        this.clock = clock;
        this.recorder = recorder;
    }

    static DemoLoad start(RunningDeployment running, long seed, Clock clock, LoadRecorder recorder) {
        DemoLoad load = new DemoLoad(running, clock, recorder);
        SplittableRandom random = new SplittableRandom(seed);
        for (Deployment.CustomerProfile customer : running.deployment().customers()) {
            for (int number = 0; number < SESSIONS_PER_CUSTOMER; number++) {
                load.startSession(customer, number, random.split());
            }
        }
        return load;
    }

    /** Returns the name of the customer that exceeds its configured rate. */
    static String excessiveCustomer(Deployment deployment) {
        return deployment.customers().getLast().name();
    }

    @Override
    public void close() {
        sessions.forEach(Thread::interrupt);
        try {
            for (Thread session : sessions) {
                session.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        proxies.close();
    }

    private void startSession(Deployment.CustomerProfile customer, int number, SplittableRandom random) {
        Deployment deployment = running.deployment();
        String name = customer.name() + "-" + number;
        boolean isOpenCustomer = customer.equals(deployment.openCustomer());
        boolean isExcessiveCustomer = customer.name().equals(excessiveCustomer(deployment));
        String key = isOpenCustomer ? "" : running.keys().get(customer.name());
        CallerSession session = new CallerSession(
                new CallerSession.Identity(name, customer.name(), key), proxies, random.split(), clock, recorder);
        double rateFactor = isExcessiveCustomer ? EXCESSIVE_RATE_FACTOR : NORMAL_RATE_FACTOR;
        Duration interval = Duration.ofNanos((long) (1e9 * SESSIONS_PER_CUSTOMER / (customer.rate() * rateFactor)));
        SessionScript script = isOpenCustomer
                ? new SessionScript.PublicReader(deployment.routeNames(), name)
                : isExcessiveCustomer
                        ? new SessionScript.OwnReader(deployment.routeNames(), name)
                        : new SessionScript.Registrar(deployment.routeNames(), name);
        sessions.add(Thread.ofVirtual().name(name).start(() -> run(session, script, interval, random)));
    }

    private void run(CallerSession session, SessionScript script, Duration interval, SplittableRandom random) {
        try {
            Thread.sleep(Duration.ofNanos(random.nextLong(interval.toNanos())));
            for (long step = 0; !Thread.currentThread().isInterrupted(); step++) {
                Instant next = clock.instant().plus(interval);
                SessionScript.Step request = script.step(step);
                session.run(request.operation(), request.options());
                Duration remaining = Duration.between(clock.instant(), next);
                if (remaining.isPositive()) {
                    Thread.sleep(remaining);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
