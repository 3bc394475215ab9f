package org.geraniumproxy.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.CallerSession;
import org.geraniumproxy.core.caller.ConnectionState;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.junit.jupiter.api.Test;

/** Guards against slots and connections that are never returned, and against the reuse of one in an unknown state. */
class OwnerChannels_on_Test {
    private static final BackendServerName DATABASE = BackendServerName.of("db-1");
    private static final long STREAM = 3;
    private static final long CHANNEL = 7;
    private static final long CONNECTION = 11;
    private static final long SESSION = -1;
    private static final long REQUEST = CallerSession.firstRequestIdOf(SESSION);

    private OwnerChannels state = OwnerChannels.NONE;
    private List<OwnerChannelEffect> effects = List.of();

    @Test
    void should_release_the_slot_with_the_last_reply() {
        granted();
        on(received(commands()));
        on(new OwnerChannelEvent.Answered(SESSION, ByteBuffer.allocate(1), Optional.empty()));
        assertThat(effects, hasItem(new OwnerChannelEffect.ReleaseSlot(DATABASE, REQUEST)));
        on(received(new RelayMessage.Release(CHANNEL, Optional.empty(), true)));
        assertThat(
                effects,
                contains(new OwnerChannelEffect.ReturnConnection(DATABASE, CONNECTION, ConnectionState.EMPTY, true)));
        assertThat(state.channels().keySet(), empty());
    }

    @Test
    void should_close_a_used_connection_and_return_an_unused_one_when_the_stream_ends() {
        granted();
        on(new OwnerChannelEvent.StreamEnded(STREAM));
        assertThat(
                effects,
                contains(
                        new OwnerChannelEffect.ReleaseSlot(DATABASE, REQUEST),
                        new OwnerChannelEffect.ReturnConnection(DATABASE, CONNECTION, ConnectionState.EMPTY, false)));
        state = OwnerChannels.NONE;
        granted();
        on(received(commands()));
        on(new OwnerChannelEvent.StreamEnded(STREAM));
        assertThat(effects, hasItem(new OwnerChannelEffect.CloseConnection(DATABASE, CONNECTION)));
        assertThat(state.channels().keySet(), empty());
    }

    @Test
    void should_give_back_a_grant_that_crossed_its_withdrawal() {
        granted();
        on(received(new RelayMessage.Cancel(CHANNEL)));
        assertThat(
                effects,
                contains(
                        new OwnerChannelEffect.ReleaseSlot(DATABASE, REQUEST),
                        new OwnerChannelEffect.ReturnConnection(DATABASE, CONNECTION, ConnectionState.EMPTY, false)));
    }

    @Test
    void should_decline_requests_and_drain_connections_when_it_is_no_longer_an_owner() {
        granted();
        on(received(acquire(CHANNEL + 1, false)));
        on(new OwnerChannelEvent.RolesChanged(Set.of(), false));
        assertThat(effects, hasItem(refused(CHANNEL + 1, RefusalReason.NOT_OWNER)));
        on(received(acquire(CHANNEL + 2, false)));
        assertThat(effects, contains(refused(CHANNEL + 2, RefusalReason.NOT_OWNER)));
        on(received(commands()));
        assertThat(effects.getFirst(), instanceOf(OwnerChannelEffect.SendToDatabase.class));
        on(new OwnerChannelEvent.Answered(SESSION, ByteBuffer.allocate(1), Optional.empty()));
        on(received(acquire(CHANNEL, true)));
        assertThat(effects.getFirst(), instanceOf(OwnerChannelEffect.RequestSlot.class));
    }

    @Test
    void should_lend_nothing_new_while_it_stops() {
        on(new OwnerChannelEvent.RolesChanged(Set.of(DATABASE), true));
        on(received(acquire(CHANNEL, false)));
        assertThat(effects, contains(refused(CHANNEL, RefusalReason.STOPPING)));
    }

    @Test
    void should_tell_that_the_connection_is_lost_and_free_its_slot() {
        granted();
        on(received(commands()));
        on(new OwnerChannelEvent.ConnectionLost(SESSION, "closed"));
        assertThat(
                effects,
                contains(
                        new OwnerChannelEffect.Send(STREAM, new RelayMessage.Lost(CHANNEL, "closed")),
                        new OwnerChannelEffect.ReleaseSlot(DATABASE, REQUEST),
                        new OwnerChannelEffect.CloseConnection(DATABASE, CONNECTION)));
        on(received(new RelayMessage.Close(CHANNEL)));
        assertThat(effects, empty());
    }

    @Test
    void should_reject_commands_before_the_last_replies() {
        granted();
        on(received(commands()));
        assertThrows(IllegalArgumentException.class, () -> on(received(commands())));
        assertThat(state.channels().size(), is(1));
    }

    private void granted() {
        on(new OwnerChannelEvent.RolesChanged(Set.of(DATABASE), false));
        on(received(acquire(CHANNEL, false)));
        on(new OwnerChannelEvent.SlotGranted(SESSION, CONNECTION, ConnectionState.EMPTY, Optional.empty()));
        assertThat(
                effects,
                contains(new OwnerChannelEffect.Send(
                        STREAM,
                        new RelayMessage.Granted(
                                CHANNEL, CONNECTION, Optional.of(ConnectionState.EMPTY), Optional.empty()))));
    }

    private void on(OwnerChannelEvent event) {
        Transition<OwnerChannels, OwnerChannelEffect> transition = state.on(event, Instant.EPOCH);
        state = transition.state();
        effects = transition.effects();
    }

    private static OwnerChannelEvent received(RelayMessage message) {
        return new OwnerChannelEvent.Received(STREAM, message);
    }

    private static OwnerChannelEffect refused(long channel, RefusalReason reason) {
        return new OwnerChannelEffect.Send(
                STREAM, new RelayMessage.Refused(channel, reason, Duration.ZERO, Optional.empty()));
    }

    private static RelayMessage.Acquire acquire(long channel, boolean holdsConnection) {
        return new RelayMessage.Acquire(
                channel, DATABASE, CustomerName.of("troupe"), 1, 1, Duration.ofSeconds(1), holdsConnection);
    }

    private static RelayMessage.Commands commands() {
        return new RelayMessage.Commands(CHANNEL, 1, true, ByteBuffer.allocate(1));
    }
}
