package org.geraniumproxy.proxy.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.proxy.telemetry.InFlightRequests;
import org.geraniumproxy.proxy.testing.ManualDelay;
import org.junit.jupiter.api.Test;

/** Guards against a planned stop that ends the node while it runs what another VM forwarded after the announcement. */
class GracefulStop_drain_Test {
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration STATEMENT_TIME = Duration.ofSeconds(3);

    private final InFlightRequests requests = new InFlightRequests();
    private final ManualDelay delay = new ManualDelay();
    private final GracefulStop stop = new GracefulStop(requests, delay.clock(), delay, DRAIN_TIMEOUT);

    @Test
    void should_wait_for_statement_that_an_idle_node_got_from_a_peer_before_the_announcement_time_was_over() {
        // given a node that is idle at the signal
        CompletableFuture<Void> drained = drain();
        delay.advance(GracefulStop.ANNOUNCEMENT_TIME.minusMillis(1));
        InFlightRequests.Ticket statement = forward(STATEMENT_TIME);

        // when
        delay.advance(STATEMENT_TIME);
        boolean drainedEarly = drained.isDone();
        statement.close();

        // then
        assertThat(drainedEarly, is(false));
        assertThat(drained.isDone(), is(true));
    }

    @Test
    void should_take_no_longer_than_the_announcement_when_idle() {
        // given
        CompletableFuture<Void> drained = drain();

        // when
        delay.advance(GracefulStop.ANNOUNCEMENT_TIME);

        // then
        assertThat(drained.isDone(), is(true));
        assertThat(requests.enterForwarded(2, delay.clock().instant()).isPresent(), is(false));
    }

    @Test
    void should_end_at_the_drain_timeout_when_a_request_does_not_end() {
        // given
        InFlightRequests.Ticket stuck = requests.enter(1).orElseThrow();
        CompletableFuture<Void> drained = drain();
        delay.advance(DRAIN_TIMEOUT.minusMillis(1));
        boolean drainedEarly = drained.isDone();

        // when
        delay.advance(Duration.ofMillis(1));

        // then it is to be answered before the servers stop
        assertThat(drainedEarly, is(false));
        assertThat(stuck.isEnded(), is(true));
        assertThat(drained.isDone(), is(true));
        stuck.close();
    }

    @Test
    void should_wait_for_the_announcement_when_the_drain_timeout_is_shorter() {
        // given
        GracefulStop impatient = new GracefulStop(requests, delay.clock(), delay, Duration.ZERO);
        CompletableFuture<Void> drained = impatient.drain(() -> CompletableFuture.completedFuture(null));
        boolean drainedEarly = drained.isDone();

        // when
        delay.advance(GracefulStop.ANNOUNCEMENT_TIME);

        // then
        assertThat(drainedEarly, is(false));
        assertThat(drained.isDone(), is(true));
    }

    private CompletableFuture<Void> drain() {
        return stop.drain(() -> CompletableFuture.completedFuture(null));
    }

    private InFlightRequests.Ticket forward(Duration timeLeft) {
        return requests.enterForwarded(2, delay.clock().instant().plus(timeLeft))
                .orElseThrow();
    }
}
