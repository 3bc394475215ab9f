package org.geraniumproxy.core.service;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RouteName;
import org.junit.jupiter.api.Test;

/** Guards against refusing operations with a short target latency first when a customer exceeds its rate. */
class ServiceRoute_maximumTokenWait_Test {
    @Test
    void should_not_grow_with_the_target_latency() {
        assertThat(
                route(Duration.ofMillis(800), 1).maximumTokenWait(),
                is(route(Duration.ofMillis(400), 1).maximumTokenWait()));
    }

    @Test
    void should_be_shorter_on_routes_of_lower_priority() {
        assertThat(
                route(Duration.ofMillis(400), 1).maximumTokenWait(),
                greaterThan(route(Duration.ofMillis(800), 2).maximumTokenWait()));
        assertThat(route(Duration.ofMillis(800), 9).maximumTokenWait().isPositive(), is(true));
    }

    /** Guards against refusals that come later than a quarter of the target latency. */
    @Test
    void should_leave_time_for_a_refusal_on_a_fast_route() {
        Duration target = Duration.ofMillis(100);
        assertThat(route(target, 0).maximumTokenWait(), lessThanOrEqualTo(target.dividedBy(4)));
    }

    private static ServiceRoute route(Duration targetLatency, int priority) {
        return new ServiceRoute(
                RouteName.of("route"),
                "database",
                GroupName.of("entries"),
                Consistency.PRIMARY,
                Duration.ZERO,
                Duration.ofMillis(800),
                targetLatency,
                priority,
                false);
    }
}
