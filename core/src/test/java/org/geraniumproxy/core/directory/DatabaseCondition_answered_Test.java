package org.geraniumproxy.core.directory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against moving all reads after one slow answer, and against reporting failed commits after one was
 * acknowledged.
 */
class DatabaseCondition_answered_Test {
    private static final Instant NOW = Instant.EPOCH;

    @Test
    void should_smooth_the_latency() {
        Duration slow = Duration.ofMillis(820);
        DatabaseCondition condition = DatabaseCondition.UNUSED.answered(slow, false, NOW);
        assertThat(condition.latency(), greaterThan(DatabaseCondition.UNUSED.latency()));
        assertThat(condition.latency(), lessThan(slow.dividedBy(2)));
    }

    @Test
    void should_end_the_failure_of_commits_only_with_an_acknowledged_commit() {
        DatabaseCondition failed = DatabaseCondition.UNUSED.failed(true, NOW);
        DatabaseCondition read = failed.answered(Duration.ofMillis(5), false, NOW.plusMillis(10));
        assertThat(read.health().failingSince(), is(Optional.empty()));
        assertThat(read.health().commitsFailingSince(), is(Optional.of(NOW)));
        DatabaseCondition written = read.answered(Duration.ofMillis(5), true, NOW.plusMillis(20));
        assertThat(written.health().commitsFailingSince(), is(Optional.empty()));
    }

    @Test
    void should_be_avoided_for_a_limited_time_after_failure_and_lag() {
        assertThat(
                DatabaseCondition.UNUSED.failed(false, NOW).avoidUntil(),
                is(NOW.plus(DatabaseCondition.FAILURE_AVOIDANCE_TIME)));
        assertThat(
                DatabaseCondition.UNUSED.lagging(NOW).avoidUntil(), is(NOW.plus(DatabaseCondition.LAG_AVOIDANCE_TIME)));
    }

    @Test
    void should_only_count_answers_after_the_given_time() {
        DatabaseCondition condition = DatabaseCondition.UNUSED.answered(NOW);
        assertThat(condition.hasAnsweredSince(NOW.minusMillis(1)), is(true));
        assertThat(condition.hasAnsweredSince(NOW), is(false));
    }
}
