package org.geraniumproxy.standin.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class VmList_lag_Test {
    /**
     * Guards against a list that shows changes earlier than the platform's list does, which would hide faults in
     * proxies.
     */
    @Test
    void should_show_a_change_after_the_lag() {
        // given
        VmList list = new VmList(Duration.ofSeconds(1));
        list.add("vm-1");
        // when
        list.setLeaving("vm-1", true, Instant.EPOCH);
        // then
        assertThat(list.visibleAt(Instant.EPOCH.plusMillis(999)), is(Map.of("vm-1", false)));
        assertThat(list.visibleAt(Instant.EPOCH.plusMillis(1000)), is(Map.of("vm-1", true)));
    }
}
