package org.geraniumproxy.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.VmName;
import org.junit.jupiter.api.Test;

/**
 * Guards against using a larger share while a VM that has not learned of a change of holders may still use its old one.
 */
class ShareSchedule_observe_Test {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final VmName SELF = VmName.of("vm-0");
    private static final VmName OTHER = VmName.of("vm-1");

    private ShareSchedule schedule = ShareSchedule.UNKNOWN;

    @Test
    void should_use_a_larger_share_only_after_the_maximum_view_age_and_the_loan_validity() {
        // given
        observeEverySecond(0, 9, List.of(SELF, OTHER));
        assertThat(burst(), is(5L));

        // when
        observeEverySecond(10, 13, List.of(SELF));

        // then
        assertThat(burst(), is(5L));
        observeEverySecond(14, 14, List.of(SELF));
        assertThat(burst(), is(10L));
    }

    @Test
    void should_use_a_smaller_share_at_once() {
        // given
        observeEverySecond(0, 9, List.of(SELF));

        // when
        observeEverySecond(10, 10, List.of(SELF, OTHER));

        // then
        assertThat(burst(), is(5L));
    }

    @Test
    void should_keep_the_smaller_share_when_the_holders_change_back_and_forth() {
        // given
        observeEverySecond(0, 9, List.of(SELF));

        // when: the current position was already active before the last change
        observeEverySecond(10, 10, List.of(SELF, OTHER));
        observeEverySecond(11, 11, List.of(SELF));
        observeEverySecond(12, 15, List.of(SELF, OTHER));

        // then
        assertThat(burst(), is(5L));
        observeEverySecond(16, 20, List.of(SELF, OTHER));
        assertThat(burst(), is(5L));
    }

    @Test
    void should_start_without_a_share_after_the_view_expired() {
        // given
        observeEverySecond(0, 9, List.of(SELF));

        // when: the view is confirmed later than the maximum view age after the last confirmation
        observeEverySecond(13, 13, List.of(SELF));

        // then
        assertThat(burst(), is(0L));
    }

    private void observeEverySecond(int first, int last, List<VmName> holders) {
        for (int second = first; second <= last; second++) {
            Instant now = START.plusSeconds(second);
            schedule = schedule.observe(SELF, holders, Optional.of(now), now, LimitTiming.STANDARD);
        }
    }

    private long burst() {
        return schedule.share(view(schedule.holders(), START)).burst();
    }

    private static LimitView view(List<VmName> holders, Instant provenAt) {
        return new LimitView(SELF, 10, 10, holders, List.of(), Optional.of(provenAt));
    }
}
