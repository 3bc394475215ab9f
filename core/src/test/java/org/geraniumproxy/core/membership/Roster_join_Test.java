package org.geraniumproxy.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.junit.jupiter.api.Test;

/** Guards against two processes that promote databases with the same term. */
class Roster_join_Test {
    @Test
    void should_give_a_restarted_process_a_new_index() {
        // given
        Roster roster = ViewFixtures.roster(3);
        int indexBefore = roster.find(ViewFixtures.name(1)).orElseThrow().index();
        // when
        Roster joined = roster.join(
                ViewFixtures.name(1), "127.0.0.1:7001", RegionName.of("lima"), FailureDomain.of("lima-1"), 2);
        // then
        Vm restarted = joined.find(ViewFixtures.name(1)).orElseThrow();
        assertThat(restarted.index(), not(equalTo(indexBefore)));
        assertThat(joined.vms().size(), equalTo(3));
        assertThat(joined.revision(), equalTo(2L));
    }

    @Test
    void should_not_reuse_the_index_of_a_removed_VM() {
        // given
        Roster roster = ViewFixtures.roster(3).without(ViewFixtures.name(2));
        // when
        Roster joined = roster.join(
                ViewFixtures.name(9), "127.0.0.1:7009", RegionName.of("lima"), FailureDomain.of("lima-1"), 1);
        // then
        assertThat(joined.find(ViewFixtures.name(9)).orElseThrow().index(), equalTo(3));
    }
}
