package org.geraniumproxy.measure.promotion;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
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
        assertThatNothingIsLost(Scenario.Name.UNLISTED_SUCCESSOR);
    }

    @Test
    void should_keep_commits_that_an_expired_replica_confirmed_before_the_primary_left() throws Exception {
        assertThatNothingIsLost(Scenario.Name.EXPIRED_PLANNED);
    }

    private static void assertThatOrdinaryReplacementIsBrief(Scenario.Name scenario) throws Exception {
        PromotionResult result = play(scenario);

        assertThat(result.lines().getFirst(), result.findings(), is(empty()));
        assertThat(result.gaps().getLast(), is(lessThan(WORST_GAP)));
    }

    private static void assertThatNothingIsLost(Scenario.Name scenario) throws Exception {
        PromotionResult result = play(scenario);

        assertThat(result.lines().getFirst(), result.findings(), is(empty()));
        assertThat(result.gaps(), hasSize(1));
    }

    private static PromotionResult play(Scenario.Name scenario) throws Exception {
        return new PromotionRun(1, scenario, 1, FOLDER.resolve("test-" + scenario), new PortAllocator()).play();
    }
}
