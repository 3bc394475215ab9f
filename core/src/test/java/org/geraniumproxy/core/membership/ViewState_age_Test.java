package org.geraniumproxy.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.junit.jupiter.api.Test;

/** Guards against a proxy that applies keys and rate limits from a view without a recent proof. */
class ViewState_age_Test {
    private static final Instant START = ViewFixtures.START;

    @Test
    void should_have_no_proof_before_the_first_exchange() {
        // given
        ViewState state = ViewState.initial(ViewFixtures.name(0));
        // when
        boolean current = state.isCurrent(START);
        // then
        assertThat(current, is(false));
    }

    @Test
    void should_count_the_age_from_the_start_of_the_older_of_the_two_reads() {
        // given
        ViewState state = ViewFixtures.readFromStore(0, 5, START);
        // when
        ViewState later = ViewFixtures.apply(
                state,
                new ViewEvent.ManifestRead(START.plusMillis(400), ViewFixtures.configuration(1)),
                START.plusMillis(900));
        // then
        assertThat(later.provenAt(START.plusMillis(900)), equalTo(Optional.of(START)));
    }

    @Test
    void should_expire_without_proofs_from_store_and_peers() {
        // given
        ViewState state = ViewFixtures.readFromStore(0, 5, START);
        Instant atBound = START.plus(ControlSnapshot.MAXIMUM_VIEW_AGE);
        // when, then
        assertThat(state.isCurrent(atBound), is(true));
        assertThat(state.isCurrent(atBound.plusMillis(1)), is(false));
    }

    @Test
    void should_stay_current_without_the_store_while_a_majority_of_voters_answers() {
        // given
        ViewState state = ViewFixtures.readFromStore(0, 5, START);
        Instant later = START.plus(Duration.ofHours(1));
        // when
        ViewState withOneVote = ViewFixtures.apply(state, vote(1, later), later);
        ViewState withTwoVotes = ViewFixtures.apply(withOneVote, vote(2, later), later);
        // then
        assertThat("own vote and one other", withOneVote.isCurrent(later), is(false));
        assertThat("own vote and two others", withTwoVotes.isCurrent(later), is(true));
    }

    @Test
    void should_not_count_the_vote_of_a_peer_that_knows_a_newer_revision() {
        // given
        ViewState state = ViewFixtures.readFromStore(0, 3, START);
        Instant later = START.plusSeconds(10);
        ViewEvent newer = new ViewEvent.PeerReplied(
                ViewFixtures.name(1), later, 2, 1, Optional.empty(), true, false, Optional.empty(), Optional.empty());
        // when
        ViewState after = ViewFixtures.apply(state, newer, later);
        // then
        assertThat(after.isCurrent(later), is(false));
    }

    @Test
    void should_add_the_age_that_a_peer_reports() {
        // given
        ViewState state = ViewFixtures.readFromStore(0, 5, START);
        Instant sentAt = START.plusSeconds(10);
        ViewEvent reply = new ViewEvent.PeerReplied(
                ViewFixtures.name(1),
                sentAt,
                1,
                1,
                Optional.of(Duration.ofMillis(700)),
                false,
                false,
                Optional.empty(),
                Optional.empty());
        // when
        ViewState after = ViewFixtures.apply(state, reply, sentAt.plusMillis(30));
        // then
        assertThat(after.provenAt(sentAt.plusMillis(30)), equalTo(Optional.of(sentAt.minusMillis(700))));
    }

    @Test
    void should_not_vote_after_a_restart_before_a_majority_without_itself_has_answered() {
        // given a restarted VM that learned the roster from a peer during a store outage
        ViewState restarted = ViewState.initial(ViewFixtures.name(0));
        ViewState peer = ViewFixtures.readFromStore(1, 5, START);
        Instant now = START.plusSeconds(1);
        // when
        ViewState afterOne = ViewFixtures.apply(restarted, ViewFixtures.answer(peer, restarted, now, now), now);
        ViewState afterTwo = ViewFixtures.apply(afterOne, vote(2, now), now);
        ViewState afterThree = ViewFixtures.apply(afterTwo, vote(3, now), now);
        // then
        assertThat(afterOne.mayVote(), is(false));
        assertThat(afterTwo.mayVote(), is(false));
        assertThat(afterThree.mayVote(), is(true));
    }

    private static ViewEvent vote(int voter, Instant sentAt) {
        return new ViewEvent.PeerReplied(
                ViewFixtures.name(voter),
                sentAt,
                1,
                1,
                Optional.empty(),
                true,
                false,
                Optional.empty(),
                Optional.empty());
    }
}
