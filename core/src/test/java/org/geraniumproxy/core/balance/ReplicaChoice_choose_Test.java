package org.geraniumproxy.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.geraniumproxy.core.identity.BackendServerName;
import org.junit.jupiter.api.Test;

/** Guards against VMs that choose the same database, and against reads at a primary that is to be spared. */
class ReplicaChoice_choose_Test {
    @Test
    void should_spread_the_choices_of_vms_with_equal_figures() {
        List<ReplicaChoice.Candidate> candidates = List.of(candidate("a", 0.5), candidate("b", 0.4));
        Set<Optional<BackendServerName>> chosen = new HashSet<>();
        for (long vm = 0; vm < 8; vm++) {
            chosen.add(ReplicaChoice.choose(candidates, new SplittableRandom(vm).nextDouble()));
        }
        assertThat(chosen.size(), is(2));
    }

    @Test
    void should_spare_the_primary_until_the_replicas_are_unusable_or_far_more_loaded() {
        for (double random : new double[] {0, 0.5, 0.999}) {
            assertThat(chosen(primary(), candidate("a", 4), random), is("a"));
            assertThat(chosen(primary(), avoided(), random), is("primary"));
        }
        assertThat(chosen(primary(), candidate("a", 30), 0), is("primary"));
        assertThat(ReplicaChoice.choose(List.of(avoided()), 0.5), is(Optional.of(BackendServerName.of("lagging"))));
    }

    private static String chosen(ReplicaChoice.Candidate one, ReplicaChoice.Candidate other, double random) {
        return ReplicaChoice.choose(List.of(one, other), random).orElseThrow().value();
    }

    private static ReplicaChoice.Candidate candidate(String name, double load) {
        return new ReplicaChoice.Candidate(
                BackendServerName.of(name), false, 5, load, Duration.ofMillis(30), false, 1, false);
    }

    private static ReplicaChoice.Candidate primary() {
        return new ReplicaChoice.Candidate(
                BackendServerName.of("primary"), true, 5, 0.5, Duration.ofMillis(30), false, 1, false);
    }

    private static ReplicaChoice.Candidate avoided() {
        return new ReplicaChoice.Candidate(
                BackendServerName.of("lagging"), false, 5, 0, Duration.ofMillis(30), false, 1, true);
    }
}
