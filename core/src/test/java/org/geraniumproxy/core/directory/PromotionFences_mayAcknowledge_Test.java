package org.geraniumproxy.core.directory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;
import org.junit.jupiter.api.Test;

/**
 * Guards against an acknowledged commit that a promoted log lacks, and against a new primary whose commits are held.
 */
class PromotionFences_mayAcknowledge_Test {
    private static final BackendServerName OLD = BackendServerName.of("db-1");
    private static final BackendServerName NEXT = BackendServerName.of("db-2");
    private static final BackendServerName THIRD = BackendServerName.of("db-3");

    private static final PromotionFence TO_NEXT = fence("vm-1/1", NEXT, LogPosition.of(1, 25));
    private static final PromotionFence TO_THIRD = fence("vm-2/1", THIRD, LogPosition.of(2, 5));

    @Test
    void should_acknowledge_any_commit_without_a_promotion() {
        assertThat(mayAcknowledge(PromotionFences.NONE, OLD, 1, 90), is(true));
    }

    @Test
    void should_acknowledge_what_the_chosen_log_holds() {
        assertThat(mayAcknowledge(open(TO_NEXT), OLD, 1, 25), is(true));
    }

    @Test
    void should_withhold_what_a_database_confirmed_beyond_the_chosen_log() {
        assertThat(mayAcknowledge(open(TO_NEXT), OLD, 1, 26), is(false));
    }

    /** Guards against a VM that knows only the second of two promotions, because it started in between. */
    @Test
    void should_withhold_a_commit_of_an_earlier_term_than_the_chosen_log() {
        assertThat(mayAcknowledge(settled(TO_THIRD), OLD, 1, 25), is(false));
    }

    @Test
    void should_withhold_a_commit_without_a_position() {
        assertThat(open(TO_NEXT).mayAcknowledge(OLD, Optional.empty()), is(false));
    }

    @Test
    void should_withhold_any_commit_if_the_end_of_the_chosen_log_is_unknown() {
        PromotionFence unknown = new PromotionFence("term-2", NEXT, Optional.empty());
        assertThat(mayAcknowledge(open(unknown), OLD, 1, 1), is(false));
    }

    /** A copy of an earlier request may promote another database before the open one promotes its target. */
    @Test
    void should_withhold_commits_of_the_target_while_its_promotion_is_open() {
        assertThat(mayAcknowledge(open(TO_NEXT), NEXT, 2, 1), is(false));
    }

    @Test
    void should_acknowledge_commits_of_the_target_after_its_promotion() {
        assertThat(mayAcknowledge(settled(TO_NEXT), NEXT, 2, 1), is(true));
    }

    @Test
    void should_withhold_an_answer_of_the_old_primary_that_arrives_after_the_promotion() {
        assertThat(mayAcknowledge(settled(TO_NEXT), OLD, 1, 26), is(false));
    }

    /** Positions of a later term compare as greater, although the later log may lack the commit. */
    @Test
    void should_withhold_an_answer_of_the_old_primary_that_arrives_after_two_promotions() {
        assertThat(mayAcknowledge(settled(TO_NEXT, TO_THIRD), OLD, 1, 26), is(false));
    }

    @Test
    void should_acknowledge_commits_of_a_database_that_leads_again() {
        PromotionFence back = fence("vm-1/2", OLD, LogPosition.of(2, 9));
        assertThat(mayAcknowledge(settled(TO_NEXT, back), OLD, 3, 1), is(true));
    }

    private static boolean mayAcknowledge(
            PromotionFences fences, BackendServerName database, long term, long position) {
        return fences.mayAcknowledge(database, Optional.of(LogPosition.of(term, position)));
    }

    private static PromotionFences open(PromotionFence... fences) {
        return new PromotionFences(List.of(fences), Optional.of(Instant.EPOCH));
    }

    private static PromotionFences settled(PromotionFence... fences) {
        return new PromotionFences(List.of(fences), Optional.empty());
    }

    private static PromotionFence fence(String promotion, BackendServerName target, LogPosition lastPosition) {
        return new PromotionFence(promotion, target, Optional.of(lastPosition));
    }
}
