package org.geraniumproxy.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** Guards against a stop that is cut by the forced termination, or that gives callers less time than promised. */
class StopSchedule_of_Test {
    private static final Instant SIGNALLED_AT = Instant.EPOCH;

    /** Longest time that the virtual machine waits for threads in native code before the process ends. */
    private static final Duration LONGEST_HALT = Duration.ofMillis(300);

    @Test
    void should_leave_time_for_the_halt_before_the_forced_termination() {
        StopSchedule schedule = StopSchedule.of(SIGNALLED_AT, Duration.ofSeconds(6));
        Instant halted = schedule.leavesAt().plus(StopSchedule.LEAVE_TIME).plus(LONGEST_HALT);
        assertThat(halted, lessThanOrEqualTo(SIGNALLED_AT.plusSeconds(6)));
    }

    @Test
    void should_give_transactions_half_of_the_grace_period() {
        StopSchedule schedule = StopSchedule.of(SIGNALLED_AT, Duration.ofSeconds(6));
        assertThat(schedule.drain().transactionsEndAt(), is(SIGNALLED_AT.plusSeconds(3)));
    }

    @Test
    void should_answer_without_a_result_only_in_the_last_sixth_of_the_grace_period() {
        StopSchedule schedule = StopSchedule.of(SIGNALLED_AT, Duration.ofSeconds(6));
        assertThat(schedule.drain().answersDueAt(), greaterThanOrEqualTo(SIGNALLED_AT.plusSeconds(5)));
    }

    /** The traffic thread looks at the sessions each 0.1 s, and then passes the answers to the operating system. */
    @Test
    void should_leave_time_for_the_last_answers() {
        StopSchedule schedule = StopSchedule.of(SIGNALLED_AT, Duration.ofSeconds(6));
        Duration remaining = Duration.between(schedule.drain().answersDueAt(), schedule.leavesAt());
        assertThat(remaining, greaterThan(Duration.ofMillis(100)));
    }

    @Test
    void should_keep_the_order_of_the_steps_in_a_short_grace_period() {
        StopSchedule schedule = StopSchedule.of(SIGNALLED_AT, Duration.ofMillis(200));
        assertThat(schedule.drain().startsAt(), is(SIGNALLED_AT.plusMillis(100)));
        assertThat(schedule.drain().answersDueAt(), is(SIGNALLED_AT.plusMillis(100)));
        assertThat(schedule.leavesAt(), is(SIGNALLED_AT.plusMillis(100)));
    }
}
