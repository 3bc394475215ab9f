package org.geraniumproxy.core.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against shares that together exceed the rate, and against refusals of operations within the rate. */
class DemandWeightedShare_of_Test {
    private static final double RATE = 80;
    private static final int BURST = 80;

    @Test
    void should_never_exceed_the_rate_when_all_vms_know_each_others_demand() {
        Random random = new Random(17);
        for (int run = 0; run < 1000; run++) {
            List<Double> demand = new ArrayList<>();
            int vms = 1 + random.nextInt(8);
            for (int vm = 0; vm < vms; vm++) {
                demand.add(random.nextInt(4) == 0 ? 0 : random.nextDouble() * 200);
            }
            assertThat(total(demand, 0), is(lessThanOrEqualTo(RATE * 1000)));
        }
    }

    @Test
    void should_stay_within_the_rate_on_both_sides_of_a_network_partition() {
        double left = total(List.of(40.0, 10.0), 3);
        double right = total(List.of(90.0, 5.0, 1.0), 2);
        assertThat(left + right, is(lessThanOrEqualTo(RATE * 1000)));
    }

    @Test
    void should_follow_the_demand_when_the_load_balancer_distributes_unevenly() {
        RateShare share = DemandWeightedShare.of(RATE, BURST, 40, List.of(5.0, 5.0, 0.0), 0);
        assertThat(share.milliTokensPerSecond(), is(greaterThanOrEqualTo(40_000L)));
    }

    @Test
    void should_start_without_tokens() {
        Instant now = Instant.EPOCH;
        LocalRateLimit rate = LocalRateLimit.initial(now).withShare(new RateShare(1000, 10), now);
        assertThat(rate.admit(Duration.ZERO, now), instanceOf(LocalRateLimit.Admission.Refused.class));
    }

    @Test
    void should_delay_an_operation_whose_token_is_available_soon() {
        Instant now = Instant.EPOCH;
        LocalRateLimit rate = LocalRateLimit.initial(now).withShare(new RateShare(20_000, 10), now);
        LocalRateLimit.Admission first = rate.admit(Duration.ofMillis(80), now);
        assertThat(first, instanceOf(LocalRateLimit.Admission.Delayed.class));
        assertThat(first.next().admit(Duration.ofMillis(80), now), instanceOf(LocalRateLimit.Admission.Refused.class));
    }

    @Test
    void should_admit_no_more_than_rate_and_burst_in_any_window() {
        Instant start = Instant.EPOCH;
        LocalRateLimit rate = LocalRateLimit.initial(start).withShare(new RateShare(20_000, 20), start);
        int admitted = 0;
        for (int millisecond = 0; millisecond < 10_000; millisecond++) {
            LocalRateLimit.Admission admission = rate.admit(Duration.ZERO, start.plusMillis(millisecond));
            rate = admission.next();
            if (admission instanceof LocalRateLimit.Admission.Admitted && millisecond >= 5_000) {
                admitted++;
            }
        }
        assertThat(admitted, is(lessThanOrEqualTo(5 * 20 + 20)));
        assertThat(admitted, is(greaterThan(95)));
    }

    private static double total(List<Double> demand, int missing) {
        double total = 0;
        for (int vm = 0; vm < demand.size(); vm++) {
            List<Double> others = new ArrayList<>(demand);
            double own = others.remove(vm);
            total += DemandWeightedShare.of(RATE, BURST, own, others, missing).milliTokensPerSecond();
        }
        return total;
    }
}
