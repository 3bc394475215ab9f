package org.geraniumproxy.engine.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import org.geraniumproxy.core.memory.MemoryBudget;
import org.geraniumproxy.core.memory.MemoryHolder;
import org.junit.jupiter.api.Test;

/** Guards against connections that are never read again, or never paused or closed. */
class HeldMemory_report_Test {
    private static final Instant NOW = Instant.ofEpochSecond(100);

    private final HeldMemory memory = new HeldMemory(new MemoryBudget(1000, 1400, 800), () -> NOW, Runnable::run);

    /** Connection that holds as much as the test says. */
    private final class Connection implements HeldMemory.Holder {
        private final long id = memory.nextId();
        private long bytes;
        private boolean paused;
        private boolean closed;

        void hold(long newBytes) {
            bytes = newBytes;
            memory.report(id, this, newBytes);
        }

        @Override
        public MemoryHolder describe(long holderId) {
            return new MemoryHolder(holderId, MemoryHolder.Kind.CALLER, bytes, false, true, NOW);
        }

        @Override
        public void pauseReading(boolean pause) {
            paused = pause;
        }

        @Override
        public void closeForMemory(long totalBytes) {
            closed = true;
            hold(0);
        }

        @Override
        public void closeIfStalled(Instant now) {}
    }

    @Test
    void should_read_again_from_a_paused_connection_that_holds_nothing_any_more() {
        Connection first = new Connection();
        Connection second = new Connection();
        first.hold(600);
        second.hold(600);
        assertThat(first.paused && second.paused, is(true));
        first.hold(0);
        memory.onTick();
        assertThat(first.paused || second.paused, is(false));
        assertThat(memory.total(), is(600L));
    }

    @Test
    void should_pause_again_after_the_total_has_fallen_and_risen() {
        Connection first = new Connection();
        Connection second = new Connection();
        second.hold(600);
        first.hold(700);
        first.hold(100);
        first.hold(600);
        assertThat(second.paused, is(true));
    }

    @Test
    void should_close_the_largest_beyond_the_limit() {
        Connection first = new Connection();
        Connection second = new Connection();
        first.hold(600);
        second.hold(900);
        assertThat(second.closed, is(true));
        assertThat(first.closed, is(false));
        assertThat(memory.total(), is(600L));
    }
}
