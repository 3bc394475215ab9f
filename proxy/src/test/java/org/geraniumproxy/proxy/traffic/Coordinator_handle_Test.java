package org.geraniumproxy.proxy.traffic;

import static org.geraniumproxy.proxy.traffic.CoordinatorRig.NEXT_TERM;
import static org.geraniumproxy.proxy.traffic.CoordinatorRig.NOW;
import static org.geraniumproxy.proxy.traffic.CoordinatorRig.PRIMARY;
import static org.geraniumproxy.proxy.traffic.CoordinatorRig.REPLICA;
import static org.geraniumproxy.proxy.traffic.CoordinatorRig.TERM;
import static org.geraniumproxy.proxy.traffic.CoordinatorRig.completed;
import static org.geraniumproxy.proxy.traffic.CoordinatorRig.read;
import static org.geraniumproxy.proxy.traffic.CoordinatorRig.view;
import static org.geraniumproxy.proxy.traffic.CoordinatorRig.write;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.pool.BackendReply;
import org.geraniumproxy.core.routing.GroupResult;
import org.junit.jupiter.api.Test;

/** Guards against stale answers, writes under a replaced term and false claims of not run at the coordinator. */
class Coordinator_handle_Test {
    private static final Duration AGE = Duration.ofSeconds(2);
    private static final BackendReply BROKEN = new BackendReply.Broken("stream failed");
    private static final BackendReply NOT_SENT = new BackendReply.NotSent("closed");

    @Test
    void should_ask_primary_when_replica_answers_from_before_the_write_of_the_session() {
        // given a replica that was cut after its report
        CoordinatorRig rig = new CoordinatorRig(completed(TERM, 5), completed(TERM, 10));

        // when
        GroupResult result = rig.handle(read(true, AGE, new LogPosition(TERM, 9)));

        // then
        assertThat(result.outcome(), instanceOf(Outcome.Answered.class));
        assertThat(rig.sentTo, contains(REPLICA, PRIMARY));
    }

    @Test
    void should_send_once_when_stale_replica_answered_request_that_may_not_be_repeated() {
        // given
        CoordinatorRig rig = new CoordinatorRig(completed(TERM, 5), completed(TERM, 10));

        // when
        GroupResult result = rig.handle(read(false, AGE, new LogPosition(TERM, 9)));

        // then
        assertThat(result.outcome(), instanceOf(Outcome.Unknown.class));
        assertThat(rig.sentTo, contains(REPLICA));
    }

    @Test
    void should_be_unknown_when_connection_breaks_after_write_was_sent() {
        // given
        CoordinatorRig rig = new CoordinatorRig(BROKEN, completed(TERM, 11));

        // when
        GroupResult result = rig.handle(write());

        // then
        assertThat(result.outcome(), instanceOf(Outcome.Unknown.class));
        assertThat(rig.sentTo, contains(PRIMARY));
    }

    @Test
    void should_use_another_connection_when_first_was_closed() {
        // given
        CoordinatorRig rig = new CoordinatorRig(NOT_SENT, completed(TERM, 11));

        // when
        GroupResult result = rig.handle(write());

        // then
        assertThat(result.outcome(), instanceOf(Outcome.Answered.class));
        assertThat(result.session().lastWrite(), equalTo(new LogPosition(TERM, 11)));
    }

    @Test
    void should_be_not_run_when_every_connection_was_closed() {
        // given
        CoordinatorRig rig = new CoordinatorRig(NOT_SENT, NOT_SENT, NOT_SENT);

        // when
        GroupResult result = rig.handle(write());

        // then
        assertThat(reason(result), equalTo(NotRunReason.UNREACHABLE));
    }

    @Test
    void should_send_nothing_under_old_term_when_group_changes_while_request_is_queued() {
        // given a promotion during the first wait for a slot
        CoordinatorRig rig = new CoordinatorRig(completed(NEXT_TERM, 11));
        AtomicInteger waits = new AtomicInteger();
        rig.whileQueued(() -> {
            waits.incrementAndGet();
            rig.showing(view(NEXT_TERM, 10, 10, NOW));
        });

        // when
        GroupResult result = rig.handle(write());

        // then
        assertThat(waits.get(), equalTo(2));
        assertThat(rig.sentTo, contains(PRIMARY));
        assertThat(result.session().lastWrite(), equalTo(new LogPosition(NEXT_TERM, 11)));
    }

    @Test
    void should_be_unknown_when_primary_committed_under_another_term() {
        // given
        CoordinatorRig rig = new CoordinatorRig(completed(NEXT_TERM, 11));

        // when
        GroupResult result = rig.handle(write());

        // then
        assertThat(result.outcome(), instanceOf(Outcome.Unknown.class));
    }

    @Test
    void should_wait_for_new_report_when_token_is_ahead_of_last_report() {
        // given a report from before the session's write
        CoordinatorRig rig = new CoordinatorRig(completed(TERM, 12));
        rig.onAwaitedChange(() -> rig.showing(view(TERM, 12, 12, NOW)));

        // when
        GroupResult result = rig.handle(read(false, Duration.ZERO, new LogPosition(TERM, 12)));

        // then
        assertThat(result.outcome(), instanceOf(Outcome.Answered.class));
    }

    @Test
    void should_send_nothing_when_request_may_outlast_the_drain() {
        // given a request with 5 s left at a coordinator that ends its requests 1 ms before
        CoordinatorRig rig = new CoordinatorRig();
        rig.inFlight.drain(NOW.plusMillis(4999));

        // when
        GroupResult result = rig.handle(write());

        // then the entry proxy is told to ask the next coordinator
        assertThat(reason(result), equalTo(NotRunReason.NOT_COORDINATOR));
        assertThat(rig.sentTo, empty());
        assertThat(rig.inFlight.count(), equalTo(0));
    }

    @Test
    void should_run_forwarded_request_when_it_ends_within_the_drain() {
        // given
        CoordinatorRig rig = new CoordinatorRig(completed(TERM, 11));
        rig.inFlight.drain(NOW.plusSeconds(5));

        // when
        GroupResult result = rig.handle(write());

        // then
        assertThat(result.outcome(), instanceOf(Outcome.Answered.class));
        assertThat(rig.sentTo, contains(PRIMARY));
    }

    @Test
    void should_be_unknown_when_drain_is_over_after_request_was_sent() {
        // given
        CoordinatorRig rig = new CoordinatorRig();
        rig.whileRunning(rig.inFlight::endAll);

        // when
        GroupResult result = rig.handle(write());

        // then
        assertThat(result.outcome(), instanceOf(Outcome.Unknown.class));
        assertThat(rig.sentTo, contains(PRIMARY));
    }

    @Test
    void should_be_not_run_and_send_nothing_when_drain_is_over_while_request_is_queued() {
        // given a slot that is granted after the request was answered
        CoordinatorRig rig = new CoordinatorRig(completed(TERM, 11));
        rig.whileQueued(rig.inFlight::endAll);

        // when
        GroupResult result = rig.handle(write());

        // then
        assertThat(reason(result), equalTo(NotRunReason.NOT_COORDINATOR));
        assertThat(rig.sentTo, empty());
    }

    @Test
    void should_send_nothing_when_drain_is_over_before_the_handler_returns() {
        // given
        CoordinatorRig rig = new CoordinatorRig(completed(TERM, 11)).servingAtOnce();
        rig.whileQueued(rig.inFlight::endAll);

        // when
        GroupResult result = rig.handle(write());

        // then
        assertThat(reason(result), equalTo(NotRunReason.NOT_COORDINATOR));
        assertThat(rig.sentTo, empty());
    }

    @Test
    void should_refuse_unsent_when_token_is_ahead_of_new_report() {
        // given
        CoordinatorRig rig = new CoordinatorRig();
        rig.onAwaitedChange(() -> rig.showing(view(TERM, 11, 11, NOW)));

        // when
        GroupResult result = rig.handle(read(false, Duration.ZERO, new LogPosition(TERM, 12)));

        // then
        assertThat(reason(result), equalTo(NotRunReason.IMPOSSIBLE_TOKEN));
        assertThat(rig.sentTo, empty());
    }

    @Test
    void should_refuse_unsent_when_write_of_session_was_lost() {
        // given a failover that cut the log at 8
        CoordinatorRig rig = new CoordinatorRig().showing(view(NEXT_TERM, 10, 10, NOW));

        // when
        GroupResult result = rig.handle(read(true, AGE, new LogPosition(TERM, 9)));

        // then
        assertThat(reason(result), equalTo(NotRunReason.WRITE_LOST));
        assertThat(rig.sentTo, empty());
    }

    private static NotRunReason reason(GroupResult result) {
        return ((Outcome.NotRun) result.outcome()).reason();
    }
}
