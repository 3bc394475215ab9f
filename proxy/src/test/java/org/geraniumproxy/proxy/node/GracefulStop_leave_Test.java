package org.geraniumproxy.proxy.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.proxy.telemetry.InFlightRequests;
import org.geraniumproxy.proxy.testing.ManualDelay;
import org.junit.jupiter.api.Test;

/** Guards against a node that never ends because the store doesn't answer. */
class GracefulStop_leave_Test {
    private final ManualDelay delay = new ManualDelay();
    private final GracefulStop stop =
            new GracefulStop(new InFlightRequests(), delay.clock(), delay, Duration.ofSeconds(30));

    @Test
    void should_end_when_the_store_does_not_answer() {
        // given
        CompletableFuture<Void> left = stop.leave(CompletableFuture::new);
        delay.advance(GracefulStop.LEAVE_TIMEOUT.minusMillis(1));
        boolean leftEarly = left.isDone();

        // when
        delay.advance(Duration.ofMillis(1));

        // then
        assertThat(leftEarly, is(false));
        assertThat(left.isDone(), is(true));
    }

    @Test
    void should_end_at_once_when_the_store_fails() {
        // when
        CompletableFuture<Void> left =
                stop.leave(() -> CompletableFuture.failedFuture(new IllegalStateException("the store is down")));

        // then
        assertThat(left.isCompletedExceptionally(), is(false));
        assertThat(left.isDone(), is(true));
    }

    @Test
    void should_wait_for_the_roster_no_longer_than_needed() {
        // given
        CompletableFuture<Void> departure = new CompletableFuture<>();
        CompletableFuture<Void> left = stop.leave(() -> departure);
        boolean leftEarly = left.isDone();

        // when
        departure.complete(null);

        // then
        assertThat(leftEarly, is(false));
        assertThat(left.isDone(), is(true));
    }
}
