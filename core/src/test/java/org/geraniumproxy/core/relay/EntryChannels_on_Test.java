package org.geraniumproxy.core.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.ConnectionState;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.pool.OwnerSelection;
import org.geraniumproxy.core.pool.SlotRequest;
import org.junit.jupiter.api.Test;

/** Guards against false statements of what was sent when an owner fails, and against requests that get no answer. */
class EntryChannels_on_Test {
    private static final VmName SELF = VmName.of("entry");
    private static final VmName FIRST = VmName.of("first");
    private static final VmName SECOND = VmName.of("second");
    private static final BackendServerName DATABASE = BackendServerName.of("db-1");
    private static final long CHANNEL = 7;

    private EntryChannels state = EntryChannels.initial(SELF, OwnerSelection.RESPONSE_MARGIN);
    private Instant now = Instant.EPOCH;
    private List<EntryChannelEffect> effects = List.of();

    @Test
    void should_send_only_the_end_of_the_use_after_the_last_reply() {
        granted();
        on(new EntryChannelEvent.CommandsReady(commands(true)));
        on(received(new RelayMessage.Replies(CHANNEL, true, ByteBuffer.allocate(1), Optional.empty())));
        on(new EntryChannelEvent.SlotReleased(1));
        assertThat(effects, empty());
        on(new EntryChannelEvent.ConnectionReturned(CHANNEL, ConnectionState.EMPTY, false));
        assertThat(effects, hasItem(send(new RelayMessage.Release(CHANNEL, Optional.empty(), false))));
        assertThat(state.ownersInUse(), empty());
    }

    @Test
    void should_ask_the_second_owner_and_then_use_own_connections_when_no_owner_responds() {
        request(1, List.of(FIRST, SECOND));
        now = now.plus(Duration.ofMillis(200));
        on(new EntryChannelEvent.TimePassed());
        assertThat(effects, hasItem(send(new RelayMessage.Cancel(CHANNEL))));
        assertThat(state.ownersInUse(), is(Set.of(SECOND)));
        now = now.plus(Duration.ofMillis(200));
        on(new EntryChannelEvent.TimePassed());
        assertThat(effects, hasItem(instanceOf(EntryChannelEffect.UseOwnConnections.class)));
        request(2, List.of(FIRST, SECOND));
        assertThat(effects, hasItem(instanceOf(EntryChannelEffect.UseOwnConnections.class)));
    }

    @Test
    void should_ignore_a_grant_that_crossed_the_withdrawal() {
        request(1, List.of(FIRST));
        on(new EntryChannelEvent.Cancelled(1));
        on(received(new RelayMessage.Granted(CHANNEL, 11, Optional.of(ConnectionState.EMPTY), Optional.empty())));
        assertThat(effects, empty());
    }

    @Test
    void should_wait_in_the_queue_of_an_owner_that_responded() {
        request(1, List.of(FIRST, SECOND));
        on(received(new RelayMessage.Queued(CHANNEL, Optional.empty())));
        now = now.plus(Duration.ofSeconds(5));
        on(new EntryChannelEvent.TimePassed());
        assertThat(effects, empty());
    }

    @Test
    void should_move_unsent_requests_and_lose_held_connections_when_the_stream_ends() {
        granted();
        SlotRequest waiting = slot(2, false);
        on(new EntryChannelEvent.Requested(waiting, CHANNEL + 1, DATABASE, List.of(FIRST)));
        on(new EntryChannelEvent.StreamEnded(FIRST, "reset"));
        assertThat(
                effects,
                hasItems(
                        new EntryChannelEffect.LoseConnection(slot(1, false), CHANNEL, false),
                        new EntryChannelEffect.UseOwnConnections(waiting)));
    }

    @Test
    void should_refuse_a_request_that_the_queue_cannot_serve_and_not_try_elsewhere() {
        request(1, List.of(FIRST, SECOND));
        on(received(new RelayMessage.Refused(CHANNEL, RefusalReason.QUEUE, Duration.ofMillis(40), Optional.empty())));
        assertThat(effects.getFirst(), instanceOf(EntryChannelEffect.Refuse.class));
        assertThat(((EntryChannelEffect.Refuse) effects.getFirst()).retryOnOtherDatabase(), is(false));
    }

    @Test
    void should_use_own_connections_when_the_first_owner_declines_and_this_vm_is_the_second() {
        request(1, List.of(FIRST, SELF));
        on(received(new RelayMessage.Refused(CHANNEL, RefusalReason.STOPPING, Duration.ZERO, Optional.empty())));
        assertThat(effects, hasItem(new EntryChannelEffect.UseOwnConnections(slot(1, false))));
    }

    @Test
    void should_keep_the_connection_of_a_transaction_between_its_statements() {
        granted();
        on(new EntryChannelEvent.CommandsReady(commands(true)));
        on(new EntryChannelEvent.SlotReleased(1));
        on(new EntryChannelEvent.Requested(slot(2, true), CHANNEL, DATABASE, List.of()));
        now = now.plus(Duration.ofSeconds(1));
        on(new EntryChannelEvent.TimePassed());
        assertThat(effects, empty());
        on(received(new RelayMessage.Granted(CHANNEL, 11, Optional.empty(), Optional.empty())));
        assertThat(effects, hasItem(new EntryChannelEffect.Grant(slot(2, true), CHANNEL, ConnectionState.EMPTY)));
        on(new EntryChannelEvent.ConnectionReturned(CHANNEL, ConnectionState.EMPTY, true));
        assertThat(effects, hasItem(send(new RelayMessage.Release(CHANNEL, Optional.empty(), true))));
        assertThat(state.holds(CHANNEL), is(not(true)));
    }

    private void granted() {
        request(1, List.of(FIRST));
        on(received(new RelayMessage.Granted(CHANNEL, 11, Optional.of(ConnectionState.EMPTY), Optional.empty())));
        assertThat(effects, hasItem(new EntryChannelEffect.Grant(slot(1, false), CHANNEL, ConnectionState.EMPTY)));
    }

    private void request(long id, List<VmName> owners) {
        on(new EntryChannelEvent.Requested(slot(id, false), CHANNEL, DATABASE, owners));
    }

    private void on(EntryChannelEvent event) {
        Transition<EntryChannels, EntryChannelEffect> transition = state.on(event, now);
        state = transition.state();
        effects = transition.effects();
    }

    private static EntryChannelEvent received(RelayMessage message) {
        return new EntryChannelEvent.Received(FIRST, message);
    }

    private static EntryChannelEffect send(RelayMessage message) {
        return new EntryChannelEffect.Send(FIRST, message);
    }

    private static RelayMessage.Commands commands(boolean endsSlot) {
        return new RelayMessage.Commands(CHANNEL, 1, endsSlot, ByteBuffer.allocate(1));
    }

    private static SlotRequest slot(long id, boolean holdsConnection) {
        return new SlotRequest(id, CustomerName.of("troupe"), 1, 1, Instant.EPOCH.plusSeconds(30), holdsConnection);
    }
}
