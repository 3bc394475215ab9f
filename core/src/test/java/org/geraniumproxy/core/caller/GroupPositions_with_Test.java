package org.geraniumproxy.core.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;
import org.junit.jupiter.api.Test;

/** Guards against positions that go back, and reads held to moments of a clock that jumped. */
class GroupPositions_with_Test {
    private static final LogPosition OLDER = LogPosition.of(3, 90);
    private static final LogPosition NEWER = LogPosition.of(4, 2);

    @Test
    void should_keep_the_newest_term_and_acknowledged_commit() {
        GroupPositions positions = GroupPositions.NONE
                .with(new PrimaryPositionHistory.Sample(NEWER, Instant.EPOCH))
                .with(new PrimaryPositionHistory.Sample(OLDER, Instant.EPOCH))
                .withAcknowledgedCommit(NEWER)
                .withAcknowledgedCommit(OLDER);
        assertThat(positions.highestTerm(), is(4L));
        assertThat(positions.acknowledgedCommit(), is(Optional.of(NEWER)));
    }

    @Test
    void should_forget_samples_but_no_acknowledged_commit_when_the_clock_jumped() {
        GroupPositions positions = GroupPositions.NONE
                .with(new PrimaryPositionHistory.Sample(NEWER, Instant.EPOCH))
                .withAcknowledgedCommit(NEWER)
                .withoutSamples();
        assertThat(positions.primaryHistory(), is(PrimaryPositionHistory.NONE));
        assertThat(positions.highestTerm(), is(4L));
        assertThat(positions.acknowledgedCommit(), is(Optional.of(NEWER)));
    }
}
