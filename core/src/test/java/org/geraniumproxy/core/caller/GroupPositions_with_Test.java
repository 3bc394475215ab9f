package org.geraniumproxy.core.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;
import org.junit.jupiter.api.Test;

/** Guards against positions that decrease, and against reads that rely on times from before a clock jump. */
class GroupPositions_with_Test {
    private static final LogPosition OLDER = LogPosition.of(3, 90);
    private static final LogPosition NEWER = LogPosition.of(4, 2);

    @Test
    void should_keep_the_highest_term_and_acknowledged_commit() {
        GroupPositions positions = GroupPositions.NONE
                .with(new PrimaryPositionHistory.Sample(NEWER, Instant.EPOCH))
                .with(new PrimaryPositionHistory.Sample(OLDER, Instant.EPOCH))
                .withAcknowledgedCommit(NEWER)
                .withAcknowledgedCommit(OLDER);
        assertThat(positions.highestTerm(), is(4L));
        assertThat(positions.acknowledgedCommit(), is(Optional.of(NEWER)));
    }

    @Test
    void should_drop_samples_but_keep_the_acknowledged_commit_after_a_clock_jump() {
        GroupPositions positions = GroupPositions.NONE
                .with(new PrimaryPositionHistory.Sample(NEWER, Instant.EPOCH))
                .withAcknowledgedCommit(NEWER)
                .withoutSamples();
        assertThat(positions.primaryHistory(), is(PrimaryPositionHistory.NONE));
        assertThat(positions.highestTerm(), is(4L));
        assertThat(positions.acknowledgedCommit(), is(Optional.of(NEWER)));
    }
}
