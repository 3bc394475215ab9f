package org.geraniumproxy.proxy.telemetry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Guards against a planned stop that cuts off a running request or never ends. */
class InFlightRequests_drain_Test {
    private final InFlightRequests requests = new InFlightRequests();

    @Test
    void should_wait_for_last_request_when_draining() {
        // given
        InFlightRequests.Ticket own = requests.enter().orElseThrow();
        InFlightRequests.Ticket forwarded = requests.enterForwarded();

        // when
        CompletableFuture<Void> drained = requests.drain();
        own.close();
        own.close();
        boolean drainedEarly = drained.isDone();
        forwarded.close();

        // then a ticket that is closed twice counts once
        assertThat(drainedEarly, is(false));
        assertThat(drained.isDone(), is(true));
    }

    @Test
    void should_refuse_new_requests_when_draining() {
        // given
        CompletableFuture<Void> drained = requests.drain();

        // when
        boolean admitted = requests.enter().isPresent();

        // then
        assertThat(admitted, is(false));
        assertThat(drained.isDone(), is(true));
    }
}
