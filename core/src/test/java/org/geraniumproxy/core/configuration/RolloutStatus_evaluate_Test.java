package org.geraniumproxy.core.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.geraniumproxy.core.identity.VmName;
import org.junit.jupiter.api.Test;

/** Guards against reporting success while a live VM still uses the old configuration. */
class RolloutStatus_evaluate_Test {
    private static final Set<VmName> VMS = names("a", "b", "c", "d");
    private static final Set<VmName> VOTERS = names("a", "b", "c");

    @Test
    void should_wait_for_a_majority_of_the_voters_first() {
        RolloutStatus status =
                RolloutStatus.evaluate(5, VOTERS, VMS, Set.of(report("a", 5), report("b", 4), report("d", 5)));
        assertThat(status, equalTo(new RolloutStatus.AwaitingMajority(1, 2, new TreeSet<>(names("b", "c")))));
    }

    @Test
    void should_wait_for_an_unresponsive_VM_that_another_VM_considers_live() {
        RolloutStatus status = RolloutStatus.evaluate(
                5, VOTERS, VMS, Set.of(report("a", 5, "a", "d"), report("b", 6), report("c", 4)));
        assertThat(status, equalTo(new RolloutStatus.AwaitingVms(new TreeSet<>(names("c", "d")))));
    }

    @Test
    void should_list_the_VMs_that_are_down() {
        RolloutStatus status = RolloutStatus.evaluate(
                5, VOTERS, VMS, Set.of(report("a", 5, "a", "b"), report("b", 5), report("d", 5)));
        assertThat(status, equalTo(new RolloutStatus.InForce(new TreeSet<>(names("c")))));
    }

    private static VmReport report(String vm, long revision, String... liveVms) {
        return new VmReport(VmName.of(vm), revision, names(liveVms));
    }

    private static Set<VmName> names(String... values) {
        return Arrays.stream(values).map(VmName::of).collect(Collectors.toUnmodifiableSet());
    }
}
