package org.geraniumproxy.proxy.telemetry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Guards against a planned stop that cuts off a running request or never ends. */
class InFlightRequests_drain_Test {
    private static final Instant END = Instant.parse("2026-01-01T00:00:30Z");

    private final InFlightRequests requests = new InFlightRequests();

    @Test
    void should_wait_for_last_request_when_draining() {
        // given
        InFlightRequests.Ticket own = requests.enter(1).orElseThrow();
        InFlightRequests.Ticket forwarded = requests.enterForwarded(2, END).orElseThrow();

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
        boolean admitted = requests.enter(1).isPresent();

        // then
        assertThat(admitted, is(false));
        assertThat(requests.closeWhenIdle().isDone(), is(true));
    }

    @Test
    void should_wait_for_request_that_was_forwarded_after_an_idle_moment() {
        // given a node that becomes idle during the drain
        InFlightRequests.Ticket own = requests.enter(1).orElseThrow();
        requests.drain(END);
        own.close();

        // when
        InFlightRequests.Ticket forwarded = requests.enterForwarded(2, END).orElseThrow();
        CompletableFuture<Void> closed = requests.closeWhenIdle();
        boolean closedEarly = closed.isDone();
        forwarded.close();

        // then
        assertThat(closedEarly, is(false));
        assertThat(closed.isDone(), is(true));
    }

    @Test
    void should_end_and_name_each_request_in_flight_when_the_drain_is_over() {
        // given a request that is counted twice on this VM, and one that has ended
        InFlightRequests.Ticket entry = requests.enter(7).orElseThrow();
        InFlightRequests.Ticket coordinator = requests.enterForwarded(7, END).orElseThrow();
        InFlightRequests.Ticket over = requests.enterForwarded(8, END).orElseThrow();
        over.close();
        requests.drain(END);

        // when
        List<Long> ended = requests.endAll();

        // then
        assertThat(ended, contains(7L));
        assertThat(entry.isEnded() && coordinator.isEnded(), is(true));
        assertThat(over.isEnded(), is(false));
        assertThat(requests.enterForwarded(9, END).isPresent(), is(false));
    }

    @Test
    void should_keep_the_result_of_work_that_was_done_before_the_drain_was_over() {
        // given
        InFlightRequests.Ticket done = requests.enter(1).orElseThrow();
        InFlightRequests.Ticket running = requests.enter(2).orElseThrow();
        CompletableFuture<String> first = done.orWhenEnded(CompletableFuture.completedFuture("work"), () -> "ended");
        CompletableFuture<String> second = running.orWhenEnded(new CompletableFuture<>(), () -> "ended");

        // when
        requests.endAll();

        // then
        assertThat(first.getNow("running"), is("work"));
        assertThat(second.getNow("running"), is("ended"));
    }

    @Test
    void should_refuse_forwarded_requests_when_closed() {
        // given
        requests.drain(END);

        // when
        CompletableFuture<Void> closed = requests.closeWhenIdle();

        // then
        assertThat(closed.isDone(), is(true));
        assertThat(requests.enterForwarded(2, END).isPresent(), is(false));
    }
}
