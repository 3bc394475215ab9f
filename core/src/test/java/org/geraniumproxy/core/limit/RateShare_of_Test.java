package org.geraniumproxy.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.Vm;

/**
 * Guards against shares that add up to more than the rate or burst, and against shares that can never admit a request.
 */
class RateShare_of_Test {
    @Property
    void should_divide_rate_and_burst_exactly_over_the_holders(
            @ForAll @DoubleRange(min = 0.1, max = 1_000_000) double rate,
            @ForAll @IntRange(min = 1, max = 100_000) int burst,
            @ForAll @IntRange(min = 1, max = 12) int vms) {
        // given
        List<VmName> holders = HolderSelection.holders(CustomerName.of("troupes"), roster(vms), burst);

        // when
        List<RateShare> shares = holders.stream()
                .map(vm -> RateShare.of(rate, burst, HolderPosition.of(vm, holders)))
                .toList();

        // then
        assertThat(shares.stream().mapToLong(RateShare::milliTokensPerSecond).sum(), equalTo((long)
                Math.floor(rate * 1000)));
        assertThat(shares.stream().mapToLong(RateShare::burst).sum(), equalTo((long) burst));
        shares.forEach(share -> assertThat(share.burst(), greaterThanOrEqualTo(1L)));
    }

    private static Roster roster(int vms) {
        return new Roster(
                1,
                IntStream.range(0, vms)
                        .mapToObj(index -> new Vm(
                                index,
                                VmName.of("vm-" + index),
                                "127.0.0.1:1",
                                RegionName.of("lima"),
                                FailureDomain.of("lima-" + index % 3),
                                1,
                                false))
                        .toList());
    }
}
