package org.geraniumproxy.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Instant;
import org.geraniumproxy.core.control.InvariantViolation;
import org.junit.jupiter.api.Test;

/** Guards against a VM that decides to end and accepts a request afterwards. */
class InFlightState_transitions_Test {
    private static final Instant END = Instant.parse("2026-01-01T00:00:30Z");

    private final InFlightState draining = InFlightState.IDLE.draining(END);

    @Test
    void should_accept_forwarded_request_and_refuse_caller_when_draining() {
        assertThat(draining.enter().isPresent(), is(false));
        assertThat(draining.enterForwarded(END).isPresent(), is(true));
    }

    @Test
    void should_refuse_forwarded_request_when_its_deadline_is_after_the_drain() {
        // given
        Instant deadline = END.plusMillis(1);
        InFlightState closing = draining.enterForwarded(END).orElseThrow().closing();

        // then
        assertThat(draining.enterForwarded(deadline).isPresent(), is(false));
        assertThat(closing.enterForwarded(deadline).isPresent(), is(false));
        assertThat(closing.enterForwarded(END).isPresent(), is(true));
    }

    @Test
    void should_stay_open_for_other_VMs_when_idle_before_closing() {
        // given a VM that becomes idle before the other VMs know of the stop
        InFlightState idle = draining.enterForwarded(END).orElseThrow().left();

        // then
        assertThat(idle.isClosed(), is(false));
        assertThat(idle.enterForwarded(END).isPresent(), is(true));
    }

    @Test
    void should_close_with_the_last_request_when_closing() {
        // given
        InFlightState closing = draining.enterForwarded(END).orElseThrow().closing();

        // when
        InFlightState closed = closing.left();

        // then
        assertThat(closing.isClosed(), is(false));
        assertThat(closed.isClosed(), is(true));
        assertThat(closed.enterForwarded(END).isPresent(), is(false));
    }

    @Test
    void should_close_at_once_when_idle() {
        assertThat(draining.closing().isClosed(), is(true));
    }

    @Test
    void should_count_requests_that_end_after_closing() {
        // given
        InFlightState closed = draining.enterForwarded(END).orElseThrow().closed();

        // then
        assertThat(closed.left(), equalTo(new InFlightState(new InFlightState.Phase.Closed(), 0)));
        assertThrows(InvariantViolation.class, () -> closed.left().left());
    }

    @Test
    void should_keep_the_first_end_when_drained_twice() {
        assertThat(draining.draining(END.plusSeconds(1)), equalTo(draining));
    }

    @Test
    void should_not_close_when_not_draining() {
        assertThat(InFlightState.IDLE.closing(), equalTo(InFlightState.IDLE));
    }
}
