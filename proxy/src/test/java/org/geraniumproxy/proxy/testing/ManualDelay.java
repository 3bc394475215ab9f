package org.geraniumproxy.proxy.testing;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.proxy.traffic.Delay;

/** Delays by a clock that a test advances. */
public final class ManualDelay implements Delay {
    private final ManualClock clock = new ManualClock();
    private final List<Waiting> waiting = new ArrayList<>();

    private record Waiting(Instant end, CompletableFuture<Void> over) {}

    /**
     * Returns the clock of the delays.
     *
     * @return the clock, advanced only by {@link #advance}
     */
    public Clock clock() {
        return clock;
    }

    /**
     * Advances the clock and ends the delays that are over.
     *
     * @param duration time to add
     */
    public void advance(Duration duration) {
        clock.advance(duration);
        List<Waiting> over = waiting.stream()
                .filter(delay -> !delay.end().isAfter(clock.instant()))
                .toList();
        waiting.removeAll(over);
        over.forEach(delay -> delay.over().complete(null));
    }

    @Override
    public CompletableFuture<Void> after(Duration duration) {
        Waiting delay = new Waiting(clock.instant().plus(duration), new CompletableFuture<>());
        waiting.add(delay);
        return delay.over();
    }
}
