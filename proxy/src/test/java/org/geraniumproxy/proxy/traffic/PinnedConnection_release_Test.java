package org.geraniumproxy.proxy.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.pool.BackendCommand;
import org.geraniumproxy.core.pool.BackendReply;
import org.geraniumproxy.proxy.backend.BackendConnection;
import org.geraniumproxy.proxy.pool.SlotPool;
import org.geraniumproxy.proxy.telemetry.InFlightRequests;
import org.junit.jupiter.api.Test;

/** Guards against a planned stop that ends the node before the answer to a commit, and against one that never ends. */
class PinnedConnection_release_Test {
    private static final Instant DEADLINE = Instant.parse("2026-01-01T00:00:05Z");

    private final InFlightRequests requests = new InFlightRequests();
    private final PinnedConnection pinned = new PinnedConnection(
            new IdleLease(), requests.enterForwarded(2, DEADLINE).orElseThrow());

    @Test
    void should_count_the_transaction_until_its_last_step_is_answered() {
        // given a commit whose connection is given back while its durability is awaited
        pinned.enterStep();
        pinned.giveBack();
        int countBeforeAnswer = requests.count();

        // when
        pinned.leaveStep();

        // then
        assertThat(countBeforeAnswer, equalTo(1));
        assertThat(requests.count(), equalTo(0));
    }

    @Test
    void should_count_the_transaction_until_the_step_ends_when_discarded_within_it() {
        // given
        pinned.enterStep();
        pinned.discard();
        int countBeforeAnswer = requests.count();

        // when
        pinned.leaveStep();

        // then
        assertThat(countBeforeAnswer, equalTo(1));
        assertThat(requests.count(), equalTo(0));
    }

    @Test
    void should_end_the_count_at_once_when_discarded_between_steps() {
        // when
        pinned.discard();

        // then
        assertThat(requests.count(), equalTo(0));
    }

    /** A lease that is never used. */
    private static final class IdleLease implements SlotPool.SlotLease, BackendConnection {
        @Override
        public BackendConnection connection() {
            return this;
        }

        @Override
        public CompletableFuture<BackendReply> execute(BackendCommand command, Term term, CustomerName customer) {
            throw new UnsupportedOperationException("no commands in this test");
        }

        @Override
        public boolean isClean() {
            return true;
        }

        @Override
        public void close() {}

        @Override
        public void release() {}

        @Override
        public void yieldSlot() {}

        @Override
        public CompletableFuture<Boolean> resumeSlot(Instant deadline) {
            return CompletableFuture.completedFuture(true);
        }
    }
}
