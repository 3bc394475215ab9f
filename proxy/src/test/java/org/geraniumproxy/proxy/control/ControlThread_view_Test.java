package org.geraniumproxy.proxy.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.LoanOffer;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.protocol.ConfigurationContent;
import org.geraniumproxy.protocol.ViewReply;
import org.geraniumproxy.protocol.ViewRequest;
import org.geraniumproxy.proxy.peer.PeerClient;
import org.geraniumproxy.proxy.store.StoreKeys;
import org.geraniumproxy.proxy.testing.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a node that does not learn a configuration, loses it with the store, or joins the roster twice. */
class ControlThread_view_Test {
    private static final long LIMIT_SECONDS = 10;

    private final ManualClock clock = new ManualClock();
    private final MemoryStore store = new MemoryStore();
    private final Map<VmName, ControlThread> nodes = new HashMap<>();
    private final List<ScheduledExecutorService> executors = new ArrayList<>();

    @AfterEach
    void stop() {
        nodes.values().forEach(ControlThread::close);
        executors.forEach(ScheduledExecutorService::shutdownNow);
    }

    @Test
    void should_put_an_applied_configuration_in_force_on_every_VM() throws Exception {
        // given
        List<ControlThread> started = startNodes(3);
        // A configuration that a peer passed on is known before the view is proven; it is in force when both hold.
        List<CompletableFuture<ControlSnapshot>> inForce = started.stream()
                .map(node -> await(
                        node,
                        snapshot ->
                                snapshot.configuration().revision() == 1 && snapshot.isViewCurrent(clock.instant())))
                .toList();
        // when
        applyConfiguration(1);
        // then
        for (CompletableFuture<ControlSnapshot> future : inForce) {
            ControlSnapshot snapshot = future.get(LIMIT_SECONDS, TimeUnit.SECONDS);
            assertThat(snapshot.configuration().revision(), is(1L));
            assertThat(snapshot.isViewCurrent(clock.instant()), is(true));
        }
    }

    @Test
    void should_join_the_roster_once_when_the_reply_of_the_store_is_lost() throws Exception {
        // given
        store.loseReplies(1);
        // when
        List<ControlThread> started = startNodes(1);
        ControlSnapshot snapshot = await(
                        started.getFirst(), joined -> !joined.roster().vms().isEmpty())
                .get(LIMIT_SECONDS, TimeUnit.SECONDS);
        // then
        assertThat(snapshot.roster().vms(), hasSize(1));
        assertThat(snapshot.roster().revision(), equalTo(1L));
    }

    @Test
    void should_keep_a_current_view_through_its_peers_while_the_store_is_down() throws Exception {
        // given
        List<ControlThread> started = startNodes(3);
        applyConfiguration(1);
        for (ControlThread node : started) {
            await(
                            node,
                            snapshot -> snapshot.configuration().revision() == 1
                                    && snapshot.roster().vms().size() == 3)
                    .get(LIMIT_SECONDS, TimeUnit.SECONDS);
        }
        // when
        store.takeDown();
        clock.advance(Duration.ofHours(1));
        // then
        for (ControlThread node : started) {
            await(node, snapshot -> snapshot.isViewCurrent(clock.instant())).get(LIMIT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private List<ControlThread> startNodes(int count) {
        List<ControlThread> started = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            NodeIdentity identity = new NodeIdentity(
                    VmName.of("vm-" + index),
                    "address-" + index,
                    RegionName.of("lima"),
                    FailureDomain.of("lima-" + index),
                    1);
            ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
            executors.add(executor);
            ControlThread node =
                    new ControlThread(identity, store, new DirectPeers(), text -> Configuration.EMPTY, clock, executor);
            nodes.put(identity.name(), node);
            started.add(node);
        }
        started.forEach(ControlThread::start);
        return started;
    }

    private void applyConfiguration(long revision) {
        ConfigurationContent manifest = ConfigurationContent.newBuilder()
                .setRevision(revision)
                .setApplyIdentifier("apply-" + revision)
                .setContentDigest("digest")
                .build();
        store.compareAndSwap(StoreKeys.content("digest"), 0, ByteString.copyFromUtf8("format = 1"))
                .join();
        store.compareAndSwap(StoreKeys.MANIFEST, 0, manifest.toByteString()).join();
    }

    /** Completes with the first snapshot that fulfils the condition. */
    private static CompletableFuture<ControlSnapshot> await(ControlThread node, Predicate<ControlSnapshot> condition) {
        ControlSnapshot snapshot = node.snapshot();
        if (condition.test(snapshot)) {
            return CompletableFuture.completedFuture(snapshot);
        }
        return new CompletableFuture<Void>()
                .completeOnTimeout(null, 20, TimeUnit.MILLISECONDS)
                .thenCompose(ignored -> await(node, condition));
    }

    /** Peers in the same process. */
    private final class DirectPeers implements PeerClient {
        @Override
        public CompletableFuture<ViewReply> exchangeView(Vm vm, ViewRequest request) {
            return nodes.get(vm.name()).exchange(request);
        }

        @Override
        public CompletableFuture<GroupResult> forward(Vm vm, GroupRequest request) {
            throw new UnsupportedOperationException("no traffic in this test");
        }

        @Override
        public CompletableFuture<LoanOffer> borrow(
                Vm vm, CustomerName customer, int wanted, long loanIdentifier, long rosterRevision) {
            throw new UnsupportedOperationException("no loans in this test");
        }

        @Override
        public void returnTokens(Vm vm, CustomerName customer, long loanIdentifier, int spent, int unspent) {
            throw new UnsupportedOperationException("no loans in this test");
        }

        @Override
        public void close() {
            // There is nothing to close.
        }
    }
}
