package org.geraniumproxy.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.failover.BackendStatus;
import org.geraniumproxy.core.failover.GroupView;
import org.geraniumproxy.core.failover.PositionSample;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.session.SessionRequirement;
import org.junit.jupiter.api.Test;

/** Guards against reads at replicas whose data is older than the session or the route allows. */
class ReadPlacementDecision_decide_Test {
    private static final Instant NOW = Instant.ofEpochSecond(1_000);
    private static final BackendServerName PRIMARY = BackendServerName.of("a");
    private static final BackendServerName REPLICA = BackendServerName.of("b");
    private static final Term TERM = Term.of(8192);
    private static final Duration AGE = Duration.ofSeconds(2);

    @Test
    void should_use_a_replica_that_is_proven_within_the_accepted_age() {
        assertThat(
                decide(view(100, Optional.of(PRIMARY)), read(90, AGE), NOW), is(new ReadPlacement.AtReplica(REPLICA)));
    }

    @Test
    void should_use_the_primary_when_no_age_is_accepted() {
        assertThat(
                decide(view(100, Optional.of(PRIMARY)), read(90, Duration.ZERO), NOW),
                is(new ReadPlacement.AtPrimary(PRIMARY)));
    }

    @Test
    void should_use_the_primary_when_no_age_is_accepted_and_the_age_of_a_replica_is_measured_as_zero() {
        // given: the clock has not advanced since the latest sample, so the replica's measured age is zero although it
        // may lack a write
        Instant sampledAt = NOW.minusMillis(10);

        // when
        ReadPlacement placement = decide(view(100, Optional.of(PRIMARY)), read(90, Duration.ZERO), sampledAt);

        // then
        assertThat(placement, is(new ReadPlacement.AtPrimary(PRIMARY)));
    }

    @Test
    void should_refuse_old_data_when_there_is_no_primary() {
        // given: the latest sample at or before the replica's position is 10 ms old at NOW and too old 2.5 s later
        Instant later = NOW.plusMillis(2_500);

        // when
        ReadPlacement placement = decide(view(100, Optional.empty()), read(90, AGE), later);

        // then
        assertThat(
                placement,
                is(new ReadPlacement.Refuse(
                        NotRunReason.NO_REPLICA_WITHIN_AGE, "no replica is proven to be within 2000 ms")));
    }

    @Test
    void should_wait_for_a_replica_only_while_the_primary_is_expected_to_be_slower() {
        // given: the replica lags 30 ms behind the primary and lacks the session's write
        GroupView view = view(95, Optional.of(PRIMARY));

        // when
        ReadPlacement busy =
                ReadPlacementDecision.decide(view, read(100, AGE), Map.of(PRIMARY, Duration.ofMillis(45)), NOW);
        ReadPlacement idle =
                ReadPlacementDecision.decide(view, read(100, AGE), Map.of(PRIMARY, Duration.ofMillis(5)), NOW);

        // then
        assertThat(busy, is(new ReadPlacement.WaitForReplica(REPLICA, NOW.plusMillis(45))));
        assertThat(idle, is(new ReadPlacement.AtPrimary(PRIMARY)));
    }

    @Test
    void should_refuse_a_lost_write_and_a_token_of_an_unknown_term() {
        // given
        SessionRequirement lost = new SessionRequirement(LogPosition.of(5, 60), LogPosition.START);
        SessionRequirement unknown = new SessionRequirement(LogPosition.of(9_000, 60), LogPosition.START);

        // then
        assertThat(reasonOf(lost), is(NotRunReason.WRITE_LOST));
        assertThat(reasonOf(unknown), is(NotRunReason.IMPOSSIBLE_TOKEN));
    }

    @Test
    void should_check_term_position_and_age_of_the_reply() {
        // given
        GroupView view = view(100, Optional.of(PRIMARY));
        ReadPlacementDecision.Read read = read(90, AGE);

        // then
        assertThat(ReadPlacementDecision.acceptsReply(view, read, new LogPosition(TERM, 100), NOW), is(true));
        assertThat(ReadPlacementDecision.acceptsReply(view, read, new LogPosition(TERM, 89), NOW), is(false));
        assertThat(ReadPlacementDecision.acceptsReply(view, read, LogPosition.of(5, 100), NOW), is(false));
        assertThat(
                ReadPlacementDecision.acceptsReply(view, read, new LogPosition(TERM, 100), NOW.plusSeconds(2)),
                is(false));
    }

    private static NotRunReason reasonOf(SessionRequirement requirement) {
        ReadPlacementDecision.Read read = new ReadPlacementDecision.Read(
                requirement, AGE, NOW.plusSeconds(1), ReadPlacementDecision.ReplicaWait.ALLOWED);
        ReadPlacement placement = decide(view(100, Optional.of(PRIMARY)), read, NOW);
        assertThat(placement, instanceOf(ReadPlacement.Refuse.class));
        return ((ReadPlacement.Refuse) placement).reason();
    }

    private static ReadPlacement decide(GroupView view, ReadPlacementDecision.Read read, Instant now) {
        return ReadPlacementDecision.decide(view, read, Map.of(), now);
    }

    private static ReadPlacementDecision.Read read(long lastWrite, Duration age) {
        return new ReadPlacementDecision.Read(
                new SessionRequirement(new LogPosition(TERM, lastWrite), LogPosition.START),
                age,
                NOW.plusSeconds(1),
                ReadPlacementDecision.ReplicaWait.ALLOWED);
    }

    private static GroupView view(long replicaPosition, Optional<BackendServerName> primary) {
        return new GroupView(
                GroupName.of("group"),
                TERM,
                primary,
                Map.of(REPLICA, status(REPLICA, replicaPosition)),
                List.of(
                        new PositionSample(NOW.minusMillis(130), 90),
                        new PositionSample(NOW.minusMillis(100), 95),
                        new PositionSample(NOW.minusMillis(10), 100)),
                List.of(new TermStart(TERM, 50)));
    }

    private static BackendStatus status(BackendServerName server, long position) {
        return new BackendStatus(
                server,
                NOW.minusMillis(70),
                TERM,
                TERM,
                TERM,
                position,
                false,
                Duration.ZERO,
                0,
                false,
                List.of(new TermStart(TERM, 50)));
    }
}
