package org.geraniumproxy.core.memory;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against connections that together fill the heap, and against refusing ordinary callers because of others. */
class MemoryBudget_decide_Test {
    private static final MemoryBudget BUDGET = new MemoryBudget(1000, 1400, 800);
    private static final Instant NOW = Instant.ofEpochSecond(100);

    @Test
    void should_leave_connections_alone_below_the_pause() {
        assertThat(BUDGET.decide(List.of(receiving(1, 600), receiving(2, 400)), NOW), is(MemoryDecision.CALM));
    }

    @Test
    void should_stop_reading_from_the_largest_and_go_on_with_small_ones() {
        MemoryDecision decision = BUDGET.decide(List.of(idle(1, 10), idle(2, 600), idle(3, 20), idle(4, 550)), NOW);
        assertThat(decision.paused(), containsInAnyOrder(2L, 4L));
        assertThat(decision.closed(), is(empty()));
    }

    /** Guards against messages of legal size that wait for each other until all of them are timed out. */
    @Test
    void should_let_each_paused_message_continue_in_turn() {
        List<MemoryHolder> holders = List.of(receiving(1, 400), receiving(2, 400), receiving(3, 400));
        Set<Long> continued = new HashSet<>();
        for (int turn = 0; turn < 3; turn++) {
            MemoryDecision decision = BUDGET.decide(holders, NOW.plusMillis(200L * turn));
            holders.stream()
                    .map(MemoryHolder::id)
                    .filter(id -> id != 1 && !decision.paused().contains(id))
                    .forEach(continued::add);
        }
        assertThat(continued, containsInAnyOrder(2L, 3L));
    }

    @Test
    void should_close_the_largest_first_until_the_total_is_below_the_pause() {
        MemoryDecision decision =
                BUDGET.decide(List.of(receiving(1, 300), receiving(2, 700), receiving(3, 500), idle(4, 5)), NOW);
        assertThat(decision.closed(), contains(2L));
    }

    @Test
    void should_close_a_slow_one_before_a_larger_one_that_makes_progress() {
        MemoryHolder slow = new MemoryHolder(1, MemoryHolder.Kind.CALLER, 500, true, true, NOW.minusSeconds(5));
        MemoryDecision decision = BUDGET.decide(List.of(slow, receiving(2, 950)), NOW);
        assertThat(decision.closed(), contains(1L));
    }

    /** Guards against aborting a statement that a database runs for the sake of another caller. */
    @Test
    void should_not_close_a_connection_for_which_a_database_works() {
        List<MemoryHolder> holders = new ArrayList<>(List.of(receiving(1, 300), receiving(2, 200)));
        holders.add(new MemoryHolder(3, MemoryHolder.Kind.CALLER, 1000, false, false, NOW.minusSeconds(60)));
        assertThat(BUDGET.decide(holders, NOW).closed(), containsInAnyOrder(1L, 2L));
    }

    /** Guards against an ordinary statement that times out because its reply waits while callers hold too much. */
    @Test
    void should_read_replies_of_databases_until_callers_have_to_be_closed() {
        MemoryHolder reply = new MemoryHolder(1, MemoryHolder.Kind.DATABASE, 600, true, false, NOW);
        assertThat(BUDGET.decide(List.of(reply, idle(2, 650)), NOW).paused(), contains(2L));
        MemoryDecision beyond = BUDGET.decide(List.of(reply, idle(2, 900)), NOW);
        assertThat(beyond.paused(), contains(1L));
        assertThat(beyond.closed(), contains(2L));
    }

    /** Guards against defaults that callers inside the documented limits meet: 2,780 sessions on the smallest VM. */
    @Test
    void should_have_room_for_all_sessions_of_a_deployment_on_its_smallest_vm() {
        CallerLimits limits = CallerLimits.of(96L << 20, OptionalLong.of(330L << 20), OptionalInt.of(4300));
        assertThat(limits.connections(), greaterThan(2780));
        assertThat(limits.budget(), is(new MemoryBudget(24L << 20, 32L << 20, 12L << 20)));
    }

    private static MemoryHolder receiving(long id, long bytes) {
        return new MemoryHolder(id, MemoryHolder.Kind.CALLER, bytes, true, true, NOW);
    }

    private static MemoryHolder idle(long id, long bytes) {
        return new MemoryHolder(id, MemoryHolder.Kind.CALLER, bytes, false, true, NOW);
    }
}
