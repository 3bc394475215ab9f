package org.geraniumproxy.proxy.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.proxy.store.StoreKeys;
import org.geraniumproxy.proxy.testing.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a roster that lists a VM after it has left, so that a dead VM is ranked as coordinator. */
class ControlThread_leave_Test {
    private static final long LIMIT_SECONDS = 10;

    private final MemoryStore memory = new MemoryStore();
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

    @AfterEach
    void stop() {
        executor.shutdownNow();
    }

    @Test
    void should_not_be_listed_after_leaving_when_its_join_was_in_progress() throws Exception {
        // given a join that the store has received and not performed
        HeldSwapStore store = new HeldSwapStore(memory, false);
        ControlThread node = start(store);
        store.swapReceived().get(LIMIT_SECONDS, TimeUnit.SECONDS);

        // when
        CompletableFuture<Void> left = node.leave();
        executor.submit(() -> {}).get(LIMIT_SECONDS, TimeUnit.SECONDS);
        boolean leftEarly = left.isDone();
        store.release();
        left.get(LIMIT_SECONDS, TimeUnit.SECONDS);

        // then
        assertThat(leftEarly, is(false));
        assertThat(listed(), empty());
    }

    @Test
    void should_not_be_listed_after_leaving_when_its_join_is_performed_after_its_reply_was_given_up() throws Exception {
        // given a join that failed for the node and is still on its way to the store
        HeldSwapStore store = new HeldSwapStore(memory, true);
        ControlThread node = start(store);
        store.swapReceived().get(LIMIT_SECONDS, TimeUnit.SECONDS);

        // when
        node.leave().get(LIMIT_SECONDS, TimeUnit.SECONDS);
        store.release();

        // then
        assertThat(listed(), empty());
    }

    private ControlThread start(HeldSwapStore store) {
        NodeIdentity identity =
                new NodeIdentity(VmName.of("vm-0"), "address-0", RegionName.of("lima"), FailureDomain.of("lima-0"), 1);
        ControlThread node =
                new ControlThread(identity, store, null, _ -> Configuration.EMPTY, new ManualClock(), executor);
        node.start();
        return node;
    }

    private List<Vm> listed() {
        return RosterKeeper.decode(memory.get(StoreKeys.ROSTER).join()).vms();
    }
}
