package org.geraniumproxy.engine.traffic;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.geraniumproxy.core.caller.CallerSession;
import org.geraniumproxy.core.caller.SessionEffect;
import org.geraniumproxy.core.caller.SessionEvent;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.engine.loop.StreamConnection;
import org.geraniumproxy.engine.loop.StreamHandler;

/** Connection of a caller. Applies its messages to its session, one statement at a time. */
final class CallerConnection implements StreamHandler {
    /** Number of messages that a caller may pipeline before it is disconnected. */
    private static final int MAXIMUM_QUEUED_MESSAGES = 64;

    private final TrafficEngine engine;
    private final CallerProtocol.Decoder decoder;
    private final StreamConnection[] stream;
    private final Deque<CallerMessage> queuedMessages = new ArrayDeque<>();
    private final Instant acceptedAt;
    private CallerSession session;
    private boolean disconnected;
    private boolean closing;

    CallerConnection(TrafficEngine engine, long sessionId, StreamConnection[] stream) {
        this.engine = engine;
        this.decoder = engine.callerProtocol().decoder();
        this.stream = stream;
        this.acceptedAt = engine.now();
        this.session = CallerSession.create(sessionId, acceptedAt);
    }

    CallerSession session() {
        return session;
    }

    boolean isDisconnected() {
        return disconnected;
    }

    StreamConnection stream() {
        return stream[0];
    }

    @Override
    public void onConnected() {}

    @Override
    public void onReceived(ByteBuffer bytes) {
        for (CallerMessage message : decoder.decode(bytes)) {
            queuedMessages.add(message);
        }
        if (queuedMessages.size() > MAXIMUM_QUEUED_MESSAGES) {
            stream().close("too many pipelined messages");
        }
        handleQueuedMessages();
        engine.runPendingSteps();
    }

    @Override
    public void onClosed(String reason) {
        disconnect();
        engine.runPendingSteps();
    }

    /** Applies an event to the session and executes the resulting effects. */
    void apply(SessionEvent event) {
        Transition<CallerSession, SessionEffect> transition = session.on(event, engine.context(session));
        session = transition.state();
        for (SessionEffect effect : transition.effects()) {
            engine.execute(this, effect);
        }
        handleQueuedMessages();
        if (closing && queuedMessages.isEmpty()) {
            stream().closeAfterFlush();
        }
    }

    /** Closes the connection, unless the caller has already sent another message, which is answered first. */
    void closeAfterQueuedMessages() {
        closing = true;
    }

    /**
     * Handles queued messages while the session is idle. Messages stay queued until the first configuration is known,
     * which a starting node receives within moments, or until the node stops.
     */
    void handleQueuedMessages() {
        while ((engine.isConfigured() || engine.isDraining())
                && !disconnected
                && !session.hasOutstandingStatement()
                && !queuedMessages.isEmpty()) {
            closing = false;
            handleMessage(queuedMessages.remove());
        }
    }

    /** Logs what the caller is still owed when the process ends. */
    void logUnfinished() {
        session.on(new SessionEvent.ProcessEnding(), engine.context(session))
                .effects()
                .forEach(effect -> engine.execute(this, effect));
        engine.log(
                "-",
                "session open at the exit",
                "session=" + session.id() + " accepted="
                        + Duration.between(acceptedAt, engine.now()).toMillis() + "ms ago connected="
                        + session.isConnected() + " outstanding=" + session.hasOutstandingStatement() + " queued="
                        + queuedMessages.size() + " pendingBytes=" + stream().pendingBytes());
    }

    private void handleMessage(CallerMessage message) {
        switch (message) {
            case CallerMessage.Connect connect
            when !session.isConnected() ->
                apply(new SessionEvent.ConnectReceived(connect.database(), KeyDigest.ofKey(connect.key())));
            case CallerMessage.Query query
            when session.isConnected() -> apply(new SessionEvent.StatementReceived(query.request(), query.statement()));
            case CallerMessage.Quit _ -> stream().close("the caller ended the session");
            case CallerMessage.Invalid invalid
            when session.isConnected() && !invalid.fatal() -> engine.replyToInvalid(this, invalid.reason());
            case CallerMessage.Connect _ -> engine.rejectInvalid(this, "the caller is connected already");
            case CallerMessage.Query _ -> engine.rejectInvalid(this, "a statement before the connection was accepted");
            case CallerMessage.Invalid invalid -> engine.rejectInvalid(this, invalid.reason());
        }
    }

    private void disconnect() {
        if (!disconnected) {
            disconnected = true;
            Transition<CallerSession, SessionEffect> transition =
                    session.on(new SessionEvent.CallerDisconnected(), engine.context(session));
            session = transition.state();
            transition.effects().forEach(effect -> engine.execute(this, effect));
            engine.removeSession(session.id());
        }
    }
}
