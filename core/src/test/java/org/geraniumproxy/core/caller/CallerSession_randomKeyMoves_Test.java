package org.geraniumproxy.core.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.service.Consistency;
import org.geraniumproxy.core.statement.Statement;

/**
 * Guards against commands that are sent for a customer that no longer holds the caller's key, and against slots and
 * connections that are lost when a key moves, under random configurations, statements and answers of databases.
 */
class CallerSession_randomKeyMoves_Test {
    private CallerSessionFixture fixture;
    private final Map<Long, CustomerName> customersByConnection = new HashMap<>();
    private final Map<Long, TransactionState> statesByConnection = new HashMap<>();
    private final Map<Long, SessionEffect.RequestSlot> grantedSlots = new HashMap<>();
    private Optional<SessionEffect.RequestRateToken> awaitedToken = Optional.empty();
    private Optional<SessionEffect.RequestSlot> awaitedSlot = Optional.empty();
    private Optional<SessionEffect.SendCommands> awaitedReplies = Optional.empty();
    private Optional<CustomerName> chargedCustomer = Optional.empty();
    private boolean commitCompleted;
    private long lastConnection;

    /** A step of a run. */
    private enum Step {
        PROCEED,
        REFUSE,
        LOSE_CONNECTION,
        PASS_TIME,
        PASS_IDLE_TIME,
        MOVE_TO_TROUPE,
        MOVE_TO_JUROR,
        WITHDRAW,
        BEGIN,
        BEGIN_READ_ONLY,
        READ,
        WRITE,
        SET_VARIABLE,
        COMMIT,
        ROLL_BACK
    }

    @Property(tries = 4000, seed = "52")
    void should_send_commands_only_for_the_holder_of_the_key(
            @ForAll Consistency consistency, @ForAll boolean anonymousAllowed, @ForAll("runs") List<Step> steps) {
        fixture = CallerSessionFixture.connectedWith(consistency).recordsPrimaryPosition(LogPosition.of(3, 1));
        if (anonymousAllowed) {
            fixture.allowsAnonymous();
        }

        steps.forEach(this::take);

        on(new SessionEvent.CallerDisconnected());
        assertThat(customersByConnection, is(anEmptyMap()));
        assertThat(grantedSlots, is(anEmptyMap()));
        assertThat(awaitedSlot, is(Optional.empty()));
    }

    @Provide
    Arbitrary<List<Step>> runs() {
        return Arbitraries.frequency(
                        Tuple.of(40, Step.PROCEED),
                        Tuple.of(2, Step.REFUSE),
                        Tuple.of(1, Step.LOSE_CONNECTION),
                        Tuple.of(5, Step.PASS_TIME),
                        Tuple.of(1, Step.PASS_IDLE_TIME),
                        Tuple.of(2, Step.MOVE_TO_TROUPE),
                        Tuple.of(3, Step.MOVE_TO_JUROR),
                        Tuple.of(1, Step.WITHDRAW),
                        Tuple.of(8, Step.BEGIN),
                        Tuple.of(4, Step.BEGIN_READ_ONLY),
                        Tuple.of(8, Step.READ),
                        Tuple.of(6, Step.WRITE),
                        Tuple.of(3, Step.SET_VARIABLE),
                        Tuple.of(4, Step.COMMIT),
                        Tuple.of(1, Step.ROLL_BACK))
                .list()
                .ofMinSize(20)
                .ofMaxSize(120);
    }

    private void take(Step step) {
        switch (step) {
            case PROCEED -> proceed();
            case REFUSE -> refuse();
            case LOSE_CONNECTION ->
                customersByConnection.keySet().stream()
                        .findFirst()
                        .ifPresent(connection -> on(new SessionEvent.ConnectionLost(connection)));
            case PASS_TIME -> passTime(StatementExecution.RETRY_DELAY);
            case PASS_IDLE_TIME -> passTime(Duration.ofSeconds(3));
            case MOVE_TO_TROUPE -> fixture.movesKeyTo(CallerSessionFixture.TROUPE);
            case MOVE_TO_JUROR -> fixture.movesKeyTo(CallerSessionFixture.JUROR);
            case WITHDRAW -> fixture.withdrawsKey();
            case BEGIN -> send(new Statement.Begin(false));
            case BEGIN_READ_ONLY -> send(new Statement.Begin(true));
            case READ -> send(new Statement.Read("FETCH 1"));
            case WRITE -> send(new Statement.Write("PUT 1 x"));
            case SET_VARIABLE -> send(new Statement.SetVariable("name", "value"));
            case COMMIT -> send(new Statement.Commit());
            case ROLL_BACK -> send(new Statement.Rollback());
        }
    }

    private void send(Statement statement) {
        if (!fixture.session().hasOutstandingStatement()) {
            on(new SessionEvent.StatementReceived("r1", statement));
        }
    }

    private void passTime(Duration duration) {
        fixture.advance(duration);
        on(new SessionEvent.TimePassed());
    }

    private void proceed() {
        if (awaitedToken.isPresent()) {
            SessionEffect.RequestRateToken token = takeToken();
            chargedCustomer = Optional.of(token.customer());
            on(new SessionEvent.RateTokenGranted(token.tokenRequestId()));
        } else if (awaitedSlot.isPresent()) {
            grantSlot(awaitedSlot.get());
        } else if (awaitedReplies.isPresent()) {
            reply(awaitedReplies.get());
        }
    }

    private void refuse() {
        if (awaitedToken.isPresent()) {
            on(new SessionEvent.RateTokenRefused(takeToken().tokenRequestId(), Duration.ofSeconds(1), "test"));
        } else if (awaitedSlot.isPresent()) {
            SessionEffect.RequestSlot slot = awaitedSlot.get();
            awaitedSlot = Optional.empty();
            on(new SessionEvent.SlotRefused(slot.slotRequestId(), "test", !slot.holdsConnection()));
        } else if (awaitedReplies.isPresent()) {
            SessionEffect.SendCommands sent = awaitedReplies.get();
            awaitedReplies = Optional.empty();
            TransactionState state = statesByConnection.get(sent.connectionId());
            BackendReply refusal = CallerSessionFixture.failed(ErrorCode.BUSY, state);
            on(new SessionEvent.RepliesReceived(
                    sent.connectionId(),
                    sent.commands().stream().map(_ -> refusal).toList()));
        }
    }

    private SessionEffect.RequestRateToken takeToken() {
        SessionEffect.RequestRateToken token = awaitedToken.orElseThrow();
        awaitedToken = Optional.empty();
        return token;
    }

    private void grantSlot(SessionEffect.RequestSlot slot) {
        awaitedSlot = Optional.empty();
        grantedSlots.put(slot.slotRequestId(), slot);
        long connection = slot.holdsConnection()
                ? customersByConnection.keySet().iterator().next()
                : ++lastConnection;
        customersByConnection.putIfAbsent(connection, slot.customer());
        statesByConnection.putIfAbsent(connection, TransactionState.IDLE);
        on(new SessionEvent.SlotGranted(slot.slotRequestId(), connection, ConnectionState.EMPTY));
    }

    private void reply(SessionEffect.SendCommands sent) {
        awaitedReplies = Optional.empty();
        List<BackendReply> replies = new ArrayList<>();
        for (BackendCommand command : sent.commands()) {
            switch (command) {
                case BackendCommand.Begin _ -> statesByConnection.put(sent.connectionId(), TransactionState.OPEN);
                case BackendCommand.Commit _, BackendCommand.Rollback _ ->
                    statesByConnection.put(sent.connectionId(), TransactionState.IDLE);
                default -> {}
            }
            commitCompleted |= command instanceof BackendCommand.Commit;
            replies.add(CallerSessionFixture.completed(statesByConnection.get(sent.connectionId()), 1));
        }
        on(new SessionEvent.RepliesReceived(sent.connectionId(), replies));
    }

    private void on(SessionEvent event) {
        Set<Long> connectionsBefore = Set.copyOf(customersByConnection.keySet());
        fixture.on(event);
        fixture.effects().forEach(effect -> check(effect, connectionsBefore));
        commitCompleted = false;
    }

    private void check(SessionEffect effect, Set<Long> connectionsBefore) {
        switch (effect) {
            case SessionEffect.RequestRateToken token -> {
                assertThat(Optional.of(token.customer()), is(fixture.customer()));
                awaitedToken = Optional.of(token);
            }
            case SessionEffect.RequestSlot slot -> awaitedSlot = Optional.of(slot);
            case SessionEffect.CancelSlotRequest _ -> awaitedSlot = Optional.empty();
            case SessionEffect.ReleaseSlot released ->
                assertThat(grantedSlots.remove(released.slotRequestId()) != null, is(true));
            case SessionEffect.SendCommands sent -> {
                Optional<CustomerName> customer = Optional.ofNullable(customersByConnection.get(sent.connectionId()));
                assertThat("customer of the connection", customer, is(fixture.customer()));
                assertThat("customer that was charged", chargedCustomer, is(customer));
                awaitedReplies = Optional.of(sent);
            }
            case SessionEffect.ReturnConnection returned -> {
                boolean isOpen = statesByConnection.get(returned.connectionId()) == TransactionState.OPEN;
                assertThat(returned.rollbackRequired() || !isOpen, is(true));
                release(returned.connectionId(), connectionsBefore);
            }
            case SessionEffect.CloseConnection closed -> release(closed.connectionId(), connectionsBefore);
            case SessionEffect.Reply reply ->
                assertThat(commitCompleted && reply.result() instanceof StatementResult.Failed, is(false));
            default -> {}
        }
    }

    private void release(long connection, Set<Long> connectionsBefore) {
        assertThat(connectionsBefore.contains(connection), is(true));
        assertThat(customersByConnection.remove(connection) != null, is(true));
        awaitedReplies = Optional.empty();
    }
}
