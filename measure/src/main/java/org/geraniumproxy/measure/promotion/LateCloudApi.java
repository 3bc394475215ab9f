package org.geraniumproxy.measure.promotion;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.geraniumproxy.measure.process.CloudApi;

/**
 * Cloud API that hands requests on to the group: at once or, while it is late, seconds after they were sent and without
 * an answer in time. The fencing token of a request is compared when the request is carried out.
 */
final class LateCloudApi implements CloudApi {
    /**
     * How late requests are.
     *
     * @param silence time from the first request in which none is answered; later ones are answered or not at random
     * @param shortest shortest time between a request that is not answered and its effect
     * @param longest longest time between a request that is not answered and its effect
     */
    record Lateness(Duration silence, Duration shortest, Duration longest) {
        Lateness {
            if (!shortest.isPositive() || longest.compareTo(shortest) <= 0) {
                throw new IllegalArgumentException("no times from " + shortest + " to " + longest);
            }
        }
    }

    /**
     * Request that the platform has received.
     *
     * @param database database to promote
     * @param holder node that sent it
     * @param at time at which it was received
     */
    record Request(String database, String holder, Instant at) {}

    private final ReplicationGroup group;
    private final Clock clock;
    private final RandomGenerator random;
    private Optional<Lateness> lateness = Optional.empty();
    private Optional<Request> first = Optional.empty();
    private int open;

    LateCloudApi(ReplicationGroup group, Clock clock, RandomGenerator random) {
        this.group = group;
        this.clock = clock;
        this.random = random;
    }

    /** Is late from now on, and forgets earlier requests that {@link #awaitFirst} would return. */
    synchronized void beginLateness(Lateness newLateness) {
        lateness = Optional.of(newLateness);
        first = Optional.empty();
    }

    /** Carries out new requests at once, unless another lateness has begun. Those that are open stay late. */
    synchronized void endLateness(Lateness ended) {
        lateness = lateness.filter(current -> !current.equals(ended));
    }

    /** Returns whether a request was received since the beginning of the last lateness. */
    synchronized boolean hasReceivedRequest() {
        return first.isPresent();
    }

    /** Waits for the first request since the beginning of the lateness. Returns nothing at the timeout. */
    synchronized Optional<Request> awaitFirst(Duration timeout) throws InterruptedException {
        Instant end = clock.instant().plus(timeout);
        for (Duration left = timeout; first.isEmpty() && left.isPositive(); left = until(end)) {
            wait(left.toMillis() + 1);
        }
        return first;
    }

    /** Waits until every request that was received has been carried out or refused. */
    synchronized void awaitAllCarriedOut() throws InterruptedException {
        while (open > 0) {
            wait();
        }
    }

    @Override
    public int requestPromotion(String service, String database, String holder, long fencingToken)
            throws InterruptedException {
        Request request = new Request(database, holder, clock.instant());
        try {
            Thread.sleep(receive(request));
            return group.requestPromotion(database, holder, fencingToken, request.at());
        } finally {
            close();
        }
    }

    /** Returns the time until the request is carried out. */
    private synchronized Duration receive(Request request) {
        open++;
        if (lateness.isEmpty()) {
            return Duration.ZERO;
        }
        Lateness current = lateness.get();
        if (first.isEmpty()) {
            first = Optional.of(request);
            notifyAll();
        }
        boolean silent = Duration.between(first.get().at(), request.at()).compareTo(current.silence()) < 0;
        Duration delay = Duration.ofMillis(
                random.nextLong(current.shortest().toMillis(), current.longest().toMillis()));
        return silent || random.nextBoolean() ? delay : Duration.ZERO;
    }

    private synchronized void close() {
        open--;
        notifyAll();
    }

    private Duration until(Instant end) {
        return Duration.between(clock.instant(), end);
    }
}
