package org.geraniumproxy.proxy.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.core.configuration.ConfigurationRevision;
import org.geraniumproxy.core.configuration.Customer;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.LoanOffer;
import org.geraniumproxy.core.limit.RateDecision;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.protocol.ViewReply;
import org.geraniumproxy.protocol.ViewRequest;
import org.geraniumproxy.proxy.peer.PeerClient;
import org.geraniumproxy.proxy.testing.ManualClock;
import org.geraniumproxy.proxy.testing.ManualExecutor;
import org.geraniumproxy.proxy.testing.ManualTimer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against rejections while another VM has tokens, and against admissions beyond the customer's burst. */
class LendingRateLimiter_acquire_Test {
    private static final CustomerName CUSTOMER = CustomerName.of("troupes");
    private static final int BURST = 6;
    private static final List<Vm> VMS = List.of(vm(0), vm(1), vm(2));

    private final ManualClock clock = new ManualClock();
    private final ManualExecutor executor = new ManualExecutor();
    private final Map<VmName, LendingRateLimiter> limiters = new HashMap<>();
    private final List<ManualTimer> timers = new ArrayList<>();
    private boolean reachable = true;

    @BeforeEach
    void startThreeVmsAndFillTheirShares() {
        for (Vm vm : VMS) {
            ManualTimer timer = new ManualTimer();
            timers.add(timer);
            LendingRateLimiter limiter =
                    new LendingRateLimiter(new FakePeers(vm.name()), () -> snapshot(vm.name()), clock, executor, timer);
            limiter.start();
            limiters.put(vm.name(), limiter);
        }
        advance(Duration.ofMinutes(2));
    }

    @Test
    void should_use_the_tokens_of_all_vms_and_then_refuse() {
        // when one VM gets every request
        List<CompletableFuture<RateDecision>> decisions = new ArrayList<>();
        for (int request = 0; request < BURST + 1; request++) {
            decisions.add(acquire());
        }
        advance(Duration.ofSeconds(1));

        // then
        for (int request = 0; request < BURST; request++) {
            assertThat(decisions.get(request).join(), instanceOf(RateDecision.Admitted.class));
        }
        assertThat(decisions.getLast().join(), instanceOf(RateDecision.Refused.class));
    }

    @Test
    void should_use_only_the_share_of_this_vm_while_no_holder_answers() {
        // given
        reachable = false;

        // when
        List<CompletableFuture<RateDecision>> decisions = List.of(acquire(), acquire(), acquire());
        advance(Duration.ofSeconds(1));

        // then
        assertThat(decisions.get(1).join(), instanceOf(RateDecision.Admitted.class));
        assertThat(decisions.get(2).join(), instanceOf(RateDecision.Refused.class));
    }

    @Test
    void should_decide_at_the_deadline_at_the_latest() {
        // given a VM without tokens
        reachable = false;
        List<CompletableFuture<RateDecision>> admitted = List.of(acquire(), acquire());

        // when
        CompletableFuture<RateDecision> late = limiters.get(VMS.getFirst().name())
                .acquire(CUSTOMER, clock.instant().plusMillis(20));
        advance(Duration.ofMillis(100));

        // then
        assertThat(admitted.getLast().join(), instanceOf(RateDecision.Admitted.class));
        assertThat(late.isDone(), is(true));
    }

    private CompletableFuture<RateDecision> acquire() {
        CompletableFuture<RateDecision> decision = limiters.get(VMS.getFirst().name())
                .acquire(CUSTOMER, clock.instant().plusSeconds(5));
        executor.runAll();
        return decision;
    }

    private void advance(Duration duration) {
        Duration step = Duration.ofMillis(100);
        for (Duration passed = Duration.ZERO; passed.compareTo(duration) < 0; passed = passed.plus(step)) {
            clock.advance(step);
            timers.forEach(ManualTimer::runAll);
            executor.runAll();
        }
    }

    private ControlSnapshot snapshot(VmName self) {
        Customer customer = new Customer(CUSTOMER, 0.1, BURST, 1, Set.of());
        Configuration configuration = new Configuration(Map.of(CUSTOMER, customer), Map.of(), Map.of());
        return new ControlSnapshot(
                self,
                new ConfigurationRevision(1, "a", "b", configuration),
                new Roster(1, VMS),
                Set.of(),
                Optional.of(clock.instant()),
                false,
                Map.of());
    }

    private static Vm vm(int index) {
        return new Vm(
                index,
                VmName.of("vm-" + index),
                "127.0.0.1:" + index,
                RegionName.of("lima"),
                FailureDomain.of("lima-" + index),
                1,
                false);
    }

    private final class FakePeers implements PeerClient {
        private final VmName self;

        private FakePeers(VmName self) {
            this.self = self;
        }

        @Override
        public CompletableFuture<LoanOffer> borrow(Vm vm, CustomerName customer, int wanted, long loan, long roster) {
            return reachable
                    ? limiters.get(vm.name()).lend(self, customer, wanted, loan, roster)
                    : CompletableFuture.failedFuture(new IllegalStateException("unreachable"));
        }

        @Override
        public void returnTokens(Vm vm, CustomerName customer, long loan, int spent, int unspent) {
            var unused = limiters.get(vm.name()).returned(self, customer, loan, spent, unspent);
        }

        @Override
        public CompletableFuture<GroupResult> forward(Vm vm, GroupRequest request) {
            throw new UnsupportedOperationException("not used by the limiter");
        }

        @Override
        public CompletableFuture<ViewReply> exchangeView(Vm vm, ViewRequest request) {
            throw new UnsupportedOperationException("not used by the limiter");
        }

        @Override
        public void close() {}
    }
}
