package org.geraniumproxy.standin.database;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.geraniumproxy.protocol.FaultRequest;
import org.junit.jupiter.api.Test;

final class Connection_refuse_Test {
    private static final DatabaseSettings LIMITED =
            new DatabaseSettings(1, 2, Duration.ofMillis(12), Duration.ofMillis(3), Duration.ZERO);

    /** Guards against statements that take effect although their term differs from the database's term. */
    @Test
    void should_refuse_a_statement_of_another_term_without_an_effect() {
        try (TestGroup group = new TestGroup(DatabaseSettings.INSTANT)) {
            // given
            TestConnection beforePromotion = group.connect("a", 0).read("GET acts");
            group.promote("a", 8192);
            // when
            TestConnection later = group.connect("a", 16384).write("PUT acts mime");
            // then
            assertThat(beforePromotion.replies(), contains("refused statement of another term"));
            assertThat(later.replies(), contains("refused statement of another term"));
            assertThat(group.history("a").getAppliedWriteIdentifiersList(), empty());
            assertThat(group.history("a").getReceivedList(), hasSize(2));
        }
    }

    /** Guards against more concurrent statements than slots. */
    @Test
    void should_refuse_as_busy_when_no_slot_is_free() {
        try (TestGroup group = new TestGroup(LIMITED)) {
            // given
            group.promote("a", 8192);
            TestConnection first = group.connect("a", 8192);
            TestConnection second = group.connect("a", 8192);
            group.advance(12);
            // when
            first.write("PUT acts mime");
            second.write("PUT acts clown");
            group.advance(3);
            // then
            assertThat(second.replies(), contains("refused busy"));
            assertThat(first.replies(), contains("row mime", "end 1"));
            assertThat(group.history("a").getMostSlots(), is(1));
        }
    }

    /**
     * Guards against more connections than the limit, and against connections that open without the configured delay.
     */
    @Test
    void should_limit_connections_and_delay_their_opening() {
        try (TestGroup group = new TestGroup(LIMITED)) {
            // given
            group.promote("a", 8192);
            TestConnection first = group.connect("a", 8192).read("COUNT");
            group.connect("a", 8192);
            // when
            TestConnection third = group.connect("a", 8192);
            // then
            assertThat(third.replies(), contains("failed"));
            group.advance(14);
            assertThat(first.replies(), empty());
            group.advance(1);
            assertThat(first.replies(), contains("row 0", "end 0"));
            first.close();
            assertThat(group.status("a").getOpenConnections(), is(1));
            assertThat(group.history("a").getMostConnections(), is(2));
        }
    }

    /**
     * Guards against dirty reads, and against writes that survive although their connection closed before the commit.
     */
    @Test
    void should_roll_back_when_the_connection_ends() {
        try (TestGroup group = new TestGroup(DatabaseSettings.INSTANT)) {
            // given
            group.promote("a", 8192);
            TestConnection writer = group.connect("a", 8192).begin().write("PUT acts mime");
            TestConnection reader = group.connect("a", 8192).read("GET acts");
            // when
            writer.close();
            // then
            assertThat(reader.read("GET acts").replies(), contains("end 0", "end 0"));
            assertThat(group.status("a").getPosition(), is(0L));
        }
    }

    /** Guards against a transaction that commits after the term in which it began has ended. */
    @Test
    void should_roll_back_when_the_database_is_fenced() {
        try (TestGroup group = new TestGroup(DatabaseSettings.INSTANT)) {
            // given
            group.promote("a", 8192);
            TestConnection writer = group.connect("a", 8192).begin().write("PUT acts mime");
            writer.replies();
            // when
            group.promote("a", 16384);
            writer.commit();
            // then
            assertThat(writer.replies(), contains("refused statement of another term"));
            assertThat(group.status("a").getPosition(), is(0L));
        }
    }

    /** Guards against a lost-reply fault that also discards the write. */
    @Test
    void should_lose_the_reply_after_the_effect() {
        try (TestGroup group = new TestGroup(DatabaseSettings.INSTANT)) {
            // given
            group.promote("a", 8192);
            group.inject("a", FaultRequest.newBuilder().setLoseReplies(1));
            // when
            TestConnection writer = group.connect("a", 8192).write("ADD fee 1");
            // then
            assertThat(writer.replies(), contains("failed"));
            assertThat(group.history("a").getAppliedWriteIdentifiersList(), contains("ADD fee 1"));
        }
    }
}
