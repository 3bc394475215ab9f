package org.geraniumproxy.measure.promotion;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.nio.file.Path;
import java.time.Duration;
import org.geraniumproxy.measure.process.PortAllocator;
import org.junit.jupiter.api.Test;

/** Guards against promotions by real nodes that lose acknowledged commits or that leave callers without a primary. */
class PromotionSoak_run_Test {
    private static final Path FOLDER = Path.of("target", "promotion-soak").toAbsolutePath();
    private static final Duration WORST_GAP = Duration.ofSeconds(12);

    @Test
    void should_replace_a_leaving_primary() throws Exception {
        assertThatOrdinaryReplacementIsBrief(Scenario.Name.ORDINARY_PLANNED);
    }

    @Test
    void should_replace_a_crashed_primary() throws Exception {
        assertThatOrdinaryReplacementIsBrief(Scenario.Name.ORDINARY_CRASH);
    }

    @Test
    void should_keep_commits_that_a_replica_without_an_entry_confirmed() throws Exception {
        // given a leaving primary beside a new replica whose entry reaches the store late
        assertThatNothingIsLost(Scenario.Name.UNLISTED_SUCCESSOR);
    }

    @Test
    void should_keep_commits_that_an_expired_replica_confirmed() throws Exception {
        // given a primary and a replica that the holder can't reach, while another node writes through the primary
        assertThatNothingIsLost(Scenario.Name.EXPIRED_CUT);
    }

    @Test
    void should_keep_commits_that_a_joining_replica_confirmed_while_the_request_is_open() throws Exception {
        // given a request that takes effect seconds late, while another node writes through the primary
        assertThatNothingIsLost(Scenario.Name.OPEN_REQUEST_JOIN);
    }

    @Test
    void should_keep_commits_that_a_restarted_replica_confirmed_while_the_request_is_open() throws Exception {
        // given a stopped replica that comes back under a new id and receives before the request takes effect
        assertThatNothingIsLost(Scenario.Name.OPEN_REQUEST_RESTART);
    }

    @Test
    void should_keep_commits_that_were_acknowledged_after_the_holder_of_an_open_request_was_killed() throws Exception {
        // given a primary that all nodes reach again before the request takes effect
        assertThatNothingIsLost(Scenario.Name.OPEN_REQUEST_HOLDER_KILLED);
    }

    @Test
    void should_keep_commits_that_a_departed_replica_confirmed_before_all_nodes_restarted() throws Exception {
        // given a replica that receives nothing, and another one whose entry expired before the nodes started
        // Commits stop from the end of one replica until the promotion, so there are fewer than in the other scenarios.
        assertThatNothingIsLost(Scenario.Name.NODES_RESTARTED, 100);
    }

    private static void assertThatOrdinaryReplacementIsBrief(Scenario.Name scenario) throws Exception {
        PromotionResult result = play(scenario);

        assertThat(result.lines().getFirst(), result.findings(), is(empty()));
        assertThat(result.gaps().getLast(), is(lessThan(WORST_GAP)));
    }

    private static void assertThatNothingIsLost(Scenario.Name scenario) throws Exception {
        assertThatNothingIsLost(scenario, 1_000);
    }

    private static void assertThatNothingIsLost(Scenario.Name scenario, long minimumCommits) throws Exception {
        PromotionResult result = play(scenario);

        assertThat(result.outcomes().getOrDefault("COMPLETE", 0L), is(greaterThan(minimumCommits)));
        assertThat(result.lines().getFirst(), result.findings(), is(empty()));
    }

    private static PromotionResult play(Scenario.Name scenario) throws Exception {
        return new PromotionRun(1, scenario, 1, FOLDER.resolve("test-" + scenario), new PortAllocator()).play();
    }
}
