package org.geraniumproxy.proxy.telemetry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Guards against a planned stop that cuts off a running request or never ends. */
class InFlightRequests_drain_Test {
    private static final Instant END = Instant.parse("2026-01-01T00:00:30Z");

    private final InFlightRequests requests = new InFlightRequests();

    @Test
    void should_wait_for_last_request_when_draining() {
        // given
        InFlightRequests.Ticket own = requests.enter().orElseThrow();
        InFlightRequests.Ticket forwarded = requests.enterForwarded(END).orElseThrow();

        // when
        requests.drain(END);
        CompletableFuture<Void> closed = requests.closeWhenIdle();
        own.close();
        own.close();
        boolean closedEarly = closed.isDone();
        forwarded.close();

        // then a ticket that is closed twice counts once
        assertThat(closedEarly, is(false));
        assertThat(closed.isDone(), is(true));
    }

    @Test
    void should_refuse_new_requests_when_draining() {
        // given
        requests.drain(END);

        // when
        boolean admitted = requests.enter().isPresent();

        // then
        assertThat(admitted, is(false));
        assertThat(requests.closeWhenIdle().isDone(), is(true));
    }

    @Test
    void should_wait_for_request_that_was_forwarded_after_an_idle_moment() {
        // given a node that becomes idle during the drain
        InFlightRequests.Ticket own = requests.enter().orElseThrow();
        requests.drain(END);
        own.close();

        // when
        InFlightRequests.Ticket forwarded = requests.enterForwarded(END).orElseThrow();
        CompletableFuture<Void> closed = requests.closeWhenIdle();
        boolean closedEarly = closed.isDone();
        forwarded.close();

        // then
        assertThat(closedEarly, is(false));
        assertThat(closed.isDone(), is(true));
    }

    @Test
    void should_refuse_forwarded_requests_when_closed() {
        // given
        requests.drain(END);

        // when
        CompletableFuture<Void> closed = requests.closeWhenIdle();

        // then
        assertThat(closed.isDone(), is(true));
        assertThat(requests.enterForwarded(END).isPresent(), is(false));
    }
}
