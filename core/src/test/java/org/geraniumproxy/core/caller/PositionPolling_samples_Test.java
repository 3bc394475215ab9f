package org.geraniumproxy.core.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.core.balance.LoadReports;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.VmName;
import org.junit.jupiter.api.Test;

/** Guards against reads at replicas with a position that appears fresher than it is. */
class PositionPolling_samples_Test {
    private static final GroupName GROUP = GroupName.of("entries");
    private static final VmName FIRST = VmName.of("vm-1");
    private static final VmName SECOND = VmName.of("vm-2");
    private static final Instant START = Instant.EPOCH.plusSeconds(60);
    private static final LogPosition POSITION = LogPosition.of(3, 7);

    private final PositionPolling asked = PositionPolling.initial(
                    new PositionSource(List.of(FIRST, SECOND), Set.of(GROUP)), START)
            .poll(1, START);

    /** The transit time of the answer is unknown, so only the time at which the request was sent is certain. */
    @Test
    void should_count_the_age_from_the_time_at_which_the_request_was_sent() {
        PrimaryPositionHistory.Sample sample = asked.samples(answer(1, 300)).get(GROUP);
        assertThat(sample, is(new PrimaryPositionHistory.Sample(POSITION, START.minusMillis(300))));
    }

    @Test
    void should_ignore_an_answer_to_an_earlier_request() {
        PositionPolling askedAgain = asked.poll(2, START.plus(PositionPolling.INTERVAL));
        assertThat(askedAgain.samples(answer(1, 0)), is(Map.of()));
        assertThat(asked.answered(answer(1, 0)).samples(answer(1, 0)), is(Map.of()));
    }

    /** Guards against a request from before a suspension, whose time of sending appears too late after it. */
    @Test
    void should_ignore_an_answer_to_a_request_from_before_a_clock_jump() {
        assertThat(asked.withoutPending().samples(answer(1, 0)), is(Map.of()));
    }

    @Test
    void should_ignore_groups_that_the_source_does_not_watch() {
        PositionAnswer.AgedPosition aged = new PositionAnswer.AgedPosition(POSITION, Duration.ZERO);
        assertThat(
                asked.samples(new PositionAnswer(1, Map.of(GroupName.of("other"), aged), LoadReports.Sums.NONE)),
                is(Map.of()));
    }

    @Test
    void should_ask_the_next_vm_when_one_does_not_answer() {
        assertThat(asked.pending().orElseThrow().vm(), is(FIRST));
        PositionPolling waiting = asked.poll(2, START.plusMillis(199));
        assertThat(waiting.pending().orElseThrow().requestId(), is(1L));
        PositionPolling next = waiting.poll(3, START.plus(PositionPolling.ANSWER_TIMEOUT));
        assertThat(next.pending().orElseThrow().vm(), is(SECOND));
        PositionPolling answered = next.answered(answer(3, 0));
        assertThat(answered.poll(4, START.plusMillis(699)).pending().isPresent(), is(false));
        assertThat(
                answered.poll(5, START.plusMillis(700)).pending().orElseThrow().vm(), is(SECOND));
    }

    private static PositionAnswer answer(long requestId, long ageMilliseconds) {
        return new PositionAnswer(
                requestId,
                Map.of(GROUP, new PositionAnswer.AgedPosition(POSITION, Duration.ofMillis(ageMilliseconds))),
                LoadReports.Sums.NONE);
    }
}
