package org.geraniumproxy.core.failover;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.geraniumproxy.core.identity.BackendServerName;
import org.junit.jupiter.api.Test;

/**
 * Guards against unnecessary promotions, writes lost in a switchover, and former primaries that do not rejoin their
 * group.
 */
class SimulatedGroup_switchover_Test {
    private static final int SEEDS = 20;

    @Test
    void should_promote_once_while_only_single_messages_are_lost() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            // given
            SimulatedGroup group = SimulatedGroup.withoutFaults(seed);

            // when
            group.scheduler().runUntil(15_000);

            // then
            assertThat("seed " + seed + " " + group.reports(), group.promotions(), is(1));
        }
    }

    @Test
    void should_keep_every_committed_write_when_the_primary_leaves() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            // given
            SimulatedGroup group = SimulatedGroup.withoutFaults(seed);
            group.scheduler().runUntil(5_000);
            FakeDatabase leaving = group.primary();

            // when
            leaving.markLeaving();
            group.scheduler().runUntil(10_000);

            // then
            String run = "seed " + seed + " " + group.reports();
            FakeDatabase successor = group.primary();
            assertThat(run, successor.name(), is(not(leaving.name())));
            assertThat(
                    run,
                    group.committedBy(successor),
                    hasItems(group.committedBy(leaving).toArray(Long[]::new)));
            assertThat(run, group.promotions(), is(2));
        }
    }

    @Test
    void should_let_a_returning_primary_follow_with_its_divergent_tail_cut() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            // given
            SimulatedGroup group = SimulatedGroup.withoutFaults(seed);
            group.scheduler().runUntil(5_000);
            FakeDatabase old = group.primary();
            group.network().isolate(old.name().value());
            old.commit(group.termOf(old), Long.MAX_VALUE);
            group.scheduler().runUntil(8_000);

            // when
            group.network().reconnect(old.name().value());
            group.scheduler().runUntil(11_000);

            // then
            FakeDatabase successor = group.primary();
            List<Long> terms = DatabaseFixtures.NAMES.stream()
                    .map((BackendServerName name) -> group.database(name))
                    .map(database -> database.status(java.time.Instant.EPOCH)
                            .replicatingTerm()
                            .number())
                    .toList();
            assertThat("seed " + seed, terms, everyItem(is(group.termOf(successor))));
            assertThat("seed " + seed, group.committedBy(old), not(hasItems(Long.MAX_VALUE)));
        }
    }
}
