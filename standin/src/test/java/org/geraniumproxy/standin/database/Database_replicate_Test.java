package org.geraniumproxy.standin.database;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.geraniumproxy.protocol.FaultRequest;
import org.junit.jupiter.api.Test;

final class Database_replicate_Test {
    private static final DatabaseSettings LAGGING =
            new DatabaseSettings(4, 8, Duration.ZERO, Duration.ZERO, Duration.ofMillis(20));

    /** Guards against a replica that applies entries before its replication lag has passed. */
    @Test
    void should_apply_entries_after_the_lag() {
        try (TestGroup group = new TestGroup(LAGGING)) {
            // given
            group.promote("a", 8192);
            group.follow("b", 8192, "a");
            // when
            group.connect("a", 8192).write("PUT acts mime");
            // then
            group.advance(19);
            assertThat(group.status("b").getPosition(), is(0L));
            group.advance(1);
            assertThat(group.status("b").getPosition(), is(1L));
            assertThat(group.connect("b", 8192).read("GET acts").replies(), contains("row mime", "end 1"));
        }
    }

    /**
     * Guards against a replica that keeps writes which the new primary never received. The old primary commits such a
     * write after an isolation during which the other database was promoted.
     */
    @Test
    void should_truncate_the_divergent_tail_before_reporting_the_new_term() {
        try (TestGroup group = new TestGroup(DatabaseSettings.INSTANT)) {
            // given
            group.promote("a", 8192);
            group.follow("b", 8192, "a");
            group.connect("a", 8192).write("PUT shared 1");
            group.inject("a", FaultRequest.newBuilder().setIsolated(true));
            group.promote("b", 16384);
            group.connect("b", 16384).write("PUT later 3");
            // when
            group.inject("a", FaultRequest.newBuilder());
            group.connect("a", 8192).write("PUT divergent 2");
            assertThat(group.status("a").getPosition(), is(2L));
            group.follow("a", 16384, "b");
            // then
            assertThat(group.history("a").getAppliedWriteIdentifiersList(), contains("PUT shared 1", "PUT later 3"));
            assertThat(group.status("a").getReplicatingTerm(), is(16384L));
            assertThat(group.status("a").getLastEntryTerm(), is(16384L));
            assertThat(
                    group.status("a").getTermStartsList(), is(group.status("b").getTermStartsList()));
        }
    }

    /** Guards against a replica that reports itself as replicating after it was only fenced. */
    @Test
    void should_report_no_replicating_term_after_a_fence() {
        try (TestGroup group = new TestGroup(DatabaseSettings.INSTANT)) {
            // given
            group.promote("a", 8192);
            group.follow("b", 8192, "a");
            // when
            group.fence("b", 16384);
            group.connect("a", 8192).write("PUT acts mime");
            // then
            assertThat(group.status("b").getReplicatingTerm(), is(0L));
            assertThat(group.status("b").getPosition(), is(0L));
            assertThat(group.fence("b", 8192), is(false));
        }
    }

    /**
     * Guards against an isolated primary that still sends, and against a replica that doesn't report the lost contact.
     */
    @Test
    void should_report_the_time_since_contact_with_an_isolated_primary_and_resume_replication() {
        try (TestGroup group = new TestGroup(DatabaseSettings.INSTANT)) {
            // given
            group.promote("a", 8192);
            group.follow("b", 8192, "a");
            group.advance(1000);
            long before = group.status("b").getPrimarySilenceMillis();
            // when
            group.inject("a", FaultRequest.newBuilder().setIsolated(true));
            TestConnection unanswered = group.connect("a", 8192).write("PUT acts mime");
            group.advance(1000);
            // then
            assertThat(before, is(0L));
            assertThat(unanswered.replies(), empty());
            assertThat(group.status("b").getPrimarySilenceMillis(), greaterThanOrEqualTo(950L));
            group.inject("a", FaultRequest.newBuilder());
            group.advance(200);
            group.connect("a", 8192).write("PUT acts clown");
            assertThat(group.history("b").getAppliedWriteIdentifiersList(), contains("PUT acts clown"));
        }
    }

    /** Guards against a replica that applies only a part of a transaction, which a failover would then keep. */
    @Test
    void should_apply_a_transaction_as_a_whole() {
        try (TestGroup group = new TestGroup(LAGGING)) {
            // given
            group.promote("a", 8192);
            group.follow("b", 8192, "a");
            TestConnection connection = group.connect("a", 8192);
            // when
            connection.begin().write("ADD fee 10").write("ADD fee 5").commit();
            // then
            assertThat(connection.replies(), contains("end 0", "row 10", "end 0", "row 15", "end 0", "end 2"));
            assertThat(group.status("b").getPosition(), is(0L));
            group.advance(20);
            assertThat(group.status("b").getPosition(), is(2L));
        }
    }
}
