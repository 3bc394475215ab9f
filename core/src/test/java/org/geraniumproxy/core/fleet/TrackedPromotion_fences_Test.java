package org.geraniumproxy.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.directory.PromotionFences;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.promotion.AttemptId;
import org.geraniumproxy.core.promotion.PromotionIntent;
import org.geraniumproxy.core.promotion.PromotionIntent.Progress;
import org.junit.jupiter.api.Test;

/**
 * Guards against fences that end while a promotion may take effect, and against ones that hold commits back for good.
 */
class TrackedPromotion_fences_Test {
    private static final BackendServerName OLD = BackendServerName.of("db-1");
    private static final BackendServerName NEXT = BackendServerName.of("db-2");
    private static final BackendServerName THIRD = BackendServerName.of("db-3");
    private static final Instant LEARNED = Instant.EPOCH;
    private static final Instant SOON = LEARNED.plusSeconds(1);
    private static final Instant NEVER_AGAIN = LEARNED.plus(Duration.ofMinutes(1));
    private static final GroupDirectory OLD_LEADS = directory(OLD, 1, Optional.empty());

    @Test
    void should_hold_commits_of_the_old_primary_back_while_the_promotion_is_open() {
        PromotionFences fences =
                tracked(intent(NEXT, Progress.OPEN, 1)).refreshed(OLD_LEADS).fences(OLD_LEADS, SOON);

        assertThat(fences.isOpen(), is(true));
        assertThat(mayAcknowledge(fences, OLD, 1), is(false));
    }

    @Test
    void should_end_a_fence_that_can_take_no_effect_any_more() {
        PromotionFences fences =
                tracked(intent(NEXT, Progress.OPEN, 1)).refreshed(OLD_LEADS).fences(OLD_LEADS, NEVER_AGAIN);

        assertThat(mayAcknowledge(fences, OLD, 1), is(true));
    }

    @Test
    void should_see_in_a_later_entry_that_the_promotion_took_effect() {
        GroupDirectory directory = directory(NEXT, 9, Optional.empty());
        PromotionFences fences =
                tracked(intent(NEXT, Progress.OPEN, 1)).refreshed(directory).fences(directory, SOON);

        assertThat(fences.isOpen(), is(false));
        assertThat(mayAcknowledge(fences, NEXT, 2), is(true));
        assertThat(mayAcknowledge(fences, OLD, 1), is(false));
    }

    /** Guards against a promotion that counts as open again because its target restarted under another name. */
    @Test
    void should_remember_that_the_promotion_took_effect() {
        PromotionFences fences = tracked(intent(NEXT, Progress.OPEN, 1))
                .refreshed(directory(NEXT, 9, Optional.empty()))
                .refreshed(OLD_LEADS)
                .fences(OLD_LEADS, SOON);

        assertThat(fences.isOpen(), is(false));
    }

    /** Terms of claims are counted on from the newest known one, so a greater term alone shows nothing. */
    @Test
    void should_not_take_a_greater_term_of_another_database_for_the_effect() {
        PrimaryClaim claim = new PrimaryClaim(OLD, 7);
        GroupDirectory directory = directory(OLD, 1, Optional.of(claim));
        PromotionFences fences =
                tracked(intent(NEXT, Progress.OPEN, 1)).refreshed(directory).fences(directory, SOON);

        assertThat(fences.isOpen(), is(true));
    }

    @Test
    void should_keep_the_fence_of_an_open_promotion_that_a_later_one_replaced() {
        PromotionFences fences = tracked(intent(NEXT, Progress.OPEN, 1))
                .replacedBy(intent(THIRD, Progress.OPEN, 2), new StoreRevision(1, 6))
                .refreshed(OLD_LEADS)
                .fences(OLD_LEADS, SOON);

        assertThat(fences.fences().size(), is(2));
    }

    /** Guards against an expired promotion that holds the commits of a primary back for good. */
    @Test
    void should_drop_open_promotions_once_a_later_one_was_refused() {
        PromotionFences fences = tracked(intent(NEXT, Progress.OPEN, 1))
                .replacedBy(intent(THIRD, Progress.OPEN, 2), new StoreRevision(1, 6))
                .replacedBy(intent(THIRD, Progress.REFUSED, 2), new StoreRevision(1, 7))
                .refreshed(OLD_LEADS)
                .fences(OLD_LEADS, SOON);

        assertThat(fences, is(PromotionFences.NONE));
    }

    /** Guards against a target that died before its promotion took effect, while the old primary leads on. */
    @Test
    void should_drop_an_accepted_promotion_after_which_another_database_was_found_to_lead() {
        PrimaryClaim claim = new PrimaryClaim(OLD, 3);
        PromotionFences fences =
                tracked(intent(NEXT, Progress.TAKEN, 1)).fences(directory(OLD, 1, Optional.of(claim)), SOON);

        assertThat(mayAcknowledge(fences, OLD, 1), is(true));
    }

    /**
     * Guards against commits of a new primary that are held back because the store still shows its promotion as open.
     */
    @Test
    void should_keep_a_promotion_that_took_effect_when_a_later_one_is_refused() {
        GroupDirectory directory = directory(NEXT, 9, Optional.empty());
        PromotionFences fences = tracked(intent(OLD, Progress.TAKEN, 1))
                .replacedBy(intent(NEXT, Progress.OPEN, 2), new StoreRevision(1, 6))
                .refreshed(directory)
                .replacedBy(intent(THIRD, Progress.OPEN, 3), new StoreRevision(1, 10))
                .replacedBy(intent(THIRD, Progress.REFUSED, 3), new StoreRevision(1, 11))
                .fences(directory, SOON);

        assertThat(mayAcknowledge(fences, NEXT, 2), is(true));
    }

    /** Guards against an open promotion of the old primary that ends because another database reports its term. */
    @Test
    void should_not_take_the_lead_of_another_term_for_the_effect() {
        PrimaryClaim claim = new PrimaryClaim(OLD, 1);
        GroupDirectory directory = directory(OLD, 1, Optional.of(claim));
        PromotionFences fences =
                tracked(intent(OLD, Progress.OPEN, 1)).refreshed(directory).fences(directory, SOON);

        assertThat(fences.isOpen(), is(true));
    }

    /** Guards against the fence of a requested promotion that is forgotten after many attempts without a request. */
    @Test
    void should_remember_each_recent_promotion() {
        TrackedPromotion promotion = tracked(intent(NEXT, Progress.OPEN, 1));
        for (int attempt = 2; attempt <= 20; attempt++) {
            promotion = promotion.replacedBy(intent(THIRD, Progress.OPEN, attempt), new StoreRevision(1, 5 + attempt));
        }
        assertThat(promotion.fences(OLD_LEADS, SOON).fences().getFirst().promotion(), is("vm-1/1"));
    }

    private static TrackedPromotion tracked(PromotionIntent intent) {
        return TrackedPromotion.of(intent, new StoreRevision(1, 5));
    }

    private static PromotionIntent intent(BackendServerName target, Progress progress, long attempt) {
        return new PromotionIntent(
                target,
                2,
                progress,
                Optional.of(LogPosition.of(1, 25)),
                Optional.of(new AttemptId("vm-1", attempt)),
                LEARNED);
    }

    private static boolean mayAcknowledge(PromotionFences fences, BackendServerName database, long term) {
        return fences.mayAcknowledge(database, Optional.of(LogPosition.of(term, 26)));
    }

    private static GroupDirectory directory(BackendServerName primary, long revision, Optional<PrimaryClaim> claim) {
        DatabaseEntry entry = new DatabaseEntry(
                primary,
                GroupName.of("entries"),
                "10.0.0.1:1",
                FailureDomain.of("a"),
                2,
                false,
                true,
                1,
                1,
                new StoreRevision(1, revision));
        return new GroupDirectory(Map.of(primary, entry), claim, Map.of());
    }
}
