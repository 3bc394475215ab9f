package org.geraniumproxy.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.junit.jupiter.api.Test;

/** Guards against VMs that disagree on the owner of a rate because they saw the members change in different steps. */
class RateOwnership_holders_Test {
    private static final CustomerName CUSTOMER = CustomerName.of("troupe");

    @Test
    void should_rank_the_same_holders_step_by_step_as_at_once() {
        Random random = new Random(17);
        for (int burst : new int[] {1, 4, 16, 100}) {
            Set<VmName> members = new HashSet<>(Set.of(vm(0)));
            List<VmName> holders = ownership(members).holders(CUSTOMER, burst);
            for (int step = 0; step < 400; step++) {
                Set<VmName> previous = Set.copyOf(members);
                for (int change = random.nextInt(4); change >= 0; change--) {
                    VmName changed = vm(random.nextInt(40));
                    if (!members.remove(changed) || members.isEmpty()) {
                        members.add(changed);
                    }
                }
                MemberChange change = ownership(members).changeSince(ownership(previous));
                holders = ownership(members).holders(CUSTOMER, burst, change, holders);
                assertThat(holders, is(ownership(members).holders(CUSTOMER, burst)));
            }
        }
    }

    private static RateOwnership ownership(Set<VmName> members) {
        return new RateOwnership(vm(0), members, Map.of(), Set.of(), false);
    }

    private static VmName vm(int number) {
        return VmName.of("vm-" + number);
    }
}
