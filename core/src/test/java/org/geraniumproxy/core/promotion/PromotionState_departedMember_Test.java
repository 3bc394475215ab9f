package org.geraniumproxy.core.promotion;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.PrimaryPositionHistory;
import org.geraniumproxy.core.identity.LogPosition;
import org.junit.jupiter.api.Test;

/** Guards against losing commits that only a member without an entry at the start of this process had confirmed. */
class PromotionState_departedMember_Test extends PromotionStateFixture {
    private static final Instant LEARNED_AT = Instant.EPOCH.minus(Duration.ofSeconds(2));

    @Test
    void should_wait_when_the_log_ends_before_the_position_of_the_primary() {
        depart(Optional.of(sample(12, LEARNED_AT)));
        requestSecondAt(10);
        assertThat(requestedPromotions(), empty());
        assertThat(
                effects,
                hasItem(postponed("; members known only from the record of the group: a log that reaches"
                        + " the position 3.12 of the primary is needed")));
    }

    /** Guards against a group that stays without a primary because a member has departed. */
    @Test
    void should_promote_a_log_that_reaches_the_position_of_the_primary() {
        depart(Optional.of(sample(10, LEARNED_AT)));
        requestSecondAt(10);
        record();
        answer(SECOND, stopped(10));
        assertThat(requestedPromotions(), contains(SECOND));
    }

    @Test
    void should_wait_when_no_position_was_read_since_the_member_was_learned() {
        depart(Optional.of(sample(10, LEARNED_AT.minusMillis(1))));
        requestSecondAt(10);
        assertThat(
                effects,
                hasItem(postponed("; members known only from the record of the group: no position of the"
                        + " primary has been read since")));
    }

    @Test
    void should_promote_when_the_departed_member_answers() {
        depart(Optional.empty());
        begin();
        answer(SECOND, Optional.of(receiving(10)));
        fail(PRIMARY);
        answer(THIRD, Optional.of(receiving(12)));
        answerStopped(10, 12);
        record();
        answerStopped(10, 12);
        assertThat(requestedPromotions(), contains(THIRD));
    }

    private void depart(Optional<PrimaryPositionHistory.Sample> position) {
        suspected = Set.of(THIRD);
        departed = new DepartedMembers(Map.of(THIRD, LEARNED_AT), position);
    }

    /** Begins the replacement of a primary that is down, beside the departed member, which does not answer. */
    private void requestSecondAt(long position) {
        begin();
        fail(PRIMARY);
        fail(THIRD);
        answer(SECOND, Optional.of(receiving(position)));
        answer(SECOND, stopped(position));
        answer(THIRD, Optional.empty());
    }

    private PromotionEffect.Postpone postponed(String evidence) {
        return new PromotionEffect.Postpone(
                new AttemptId("vm-1", 1),
                "stopped 1 of 2 replicas, needed 2; commits may have been confirmed by db-3 (no entry)" + evidence);
    }

    private static PrimaryPositionHistory.Sample sample(long position, Instant coversCommitsBefore) {
        return new PrimaryPositionHistory.Sample(LogPosition.of(3, position), coversCommitsBefore);
    }
}
