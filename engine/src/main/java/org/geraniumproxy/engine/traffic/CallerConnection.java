package org.geraniumproxy.engine.traffic;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.geraniumproxy.core.caller.CallerSession;
import org.geraniumproxy.core.caller.SessionEffect;
import org.geraniumproxy.core.caller.SessionEvent;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.memory.CallerLimits;
import org.geraniumproxy.core.memory.MemoryHolder;
import org.geraniumproxy.engine.loop.StreamConnection;
import org.geraniumproxy.engine.loop.StreamHandler;

/**
 * Connection of a caller. Applies its messages to its session, one statement at a time, and reports the memory that it
 * holds.
 */
final class CallerConnection implements StreamHandler, HeldMemory.Holder {
    /** Number of messages that a caller may pipeline before it is disconnected. */
    private static final int MAXIMUM_QUEUED_MESSAGES = 64;

    /** Copies of a statement's text while it runs: as it arrived, and encoded for the database. */
    private static final int STATEMENT_COPIES = 2;

    private final TrafficEngine engine;
    private final StreamConnection[] stream;
    private final Deque<CallerMessage> queuedMessages = new ArrayDeque<>();
    private final Instant acceptedAt;
    private final long memoryId;
    private Optional<CallerProtocol.Decoder> decoder;
    private CallerSession session;
    private boolean disconnected;
    private boolean closing;
    private boolean pausedForMemory;
    private long queuedBytes;
    private long statementBytes;
    private long sessionBytes;
    private Instant lastReceivedAt;
    private Instant lastWrittenAt;
    private Optional<Instant> outputPendingSince = Optional.empty();

    CallerConnection(TrafficEngine engine, long sessionId, StreamConnection[] stream) {
        this.engine = engine;
        this.decoder = Optional.of(engine.callerProtocol().decoder());
        this.stream = stream;
        this.acceptedAt = engine.now();
        this.lastReceivedAt = acceptedAt;
        this.lastWrittenAt = acceptedAt;
        this.memoryId = engine.memory().nextId();
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

    Instant acceptedAt() {
        return acceptedAt;
    }

    @Override
    public void onConnected() {
        engine.callerConnections().onConnected(this);
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
        if (disconnected) {
            return;
        }
        lastReceivedAt = engine.now();
        engine.callerConnections().onReceived(this);
        for (CallerMessage message : decoder.orElseThrow().decode(bytes)) {
            queuedMessages.add(message);
            queuedBytes += message.heapBytes();
        }
        if (queuedMessages.size() > MAXIMUM_QUEUED_MESSAGES) {
            engine.callerConnections().close(this, CloseReason.MESSAGES_SENT_AHEAD);
        }
        handleQueuedMessages();
        engine.runPendingSteps();
        reportMemory();
    }

    @Override
    public void onWritten() {
        lastWrittenAt = engine.now();
        if (stream().pendingBytes() == 0) {
            outputPendingSince = Optional.empty();
        }
        handleQueuedMessages();
        engine.runPendingSteps();
        closeIfFinished();
        reportMemory();
    }

    @Override
    public void onClosed(String reason) {
        disconnect();
        engine.runPendingSteps();
    }

    @Override
    public MemoryHolder describe(long id) {
        Instant lastProgressAt = lastWrittenAt.isAfter(lastReceivedAt) ? lastWrittenAt : lastReceivedAt;
        return new MemoryHolder(
                id,
                MemoryHolder.Kind.CALLER,
                heldBytes(),
                receivesMessage(),
                !disconnected && !session.isUsingDatabase(),
                lastProgressAt);
    }

    @Override
    public void pauseReading(boolean paused) {
        pausedForMemory = paused;
        updateReading();
    }

    @Override
    public void closeForMemory(long totalBytes) {
        engine.callerConnections().close(this, CloseReason.MEMORY);
    }

    @Override
    public void closeIfStalled(Instant now) {
        CallerLimits limits = engine.callerConnections().limits();
        if (receivesMessage()
                && !isQueueFull()
                && lastReceivedAt.plus(limits.messageStall()).isBefore(now)) {
            engine.callerConnections().close(this, CloseReason.MESSAGE_STALLED);
        } else if (isOutputStalled(now, limits.outputStall())) {
            engine.callerConnections().close(this, CloseReason.REPLIES_UNREAD);
        }
    }

    /** Output may begin to wait long after the last write, so its own begin counts as well. */
    private boolean isOutputStalled(Instant now, Duration longest) {
        if (stream().pendingBytes() == 0) {
            outputPendingSince = Optional.empty();
            return false;
        }
        Instant since = outputPendingSince.orElse(now);
        outputPendingSince = Optional.of(since);
        return since.plus(longest).isBefore(now) && lastWrittenAt.plus(longest).isBefore(now);
    }

    long heldBytes() {
        return disconnected
                ? 0
                : decoder.map(CallerProtocol.Decoder::partialBytes).orElse(0)
                        + queuedBytes
                        + (session.hasOutstandingStatement() ? statementBytes : 0)
                        + sessionBytes
                        + stream().pendingBytes();
    }

    private boolean receivesMessage() {
        return decoder.filter(known -> known.partialBytes() > 0).isPresent();
    }

    private boolean isQueueFull() {
        return queuedBytes >= engine.callerConnections().limits().queuedBytes();
    }

    /** Stops reading while much waits to be handled, which ends without the help of the caller or by a time limit. */
    private void updateReading() {
        if (!disconnected) {
            stream().pauseReading(pausedForMemory || isQueueFull());
        }
    }

    private void reportMemory() {
        updateReading();
        long bytes = heldBytes();
        engine.memory().report(memoryId, this, bytes);
        if (bytes > engine.memory().budget().connectionBytes() && !session.isUsingDatabase()) {
            engine.callerConnections().close(this, CloseReason.CONNECTION_MEMORY);
        }
    }

    /** Applies an event to the session and executes the resulting effects. */
    void apply(SessionEvent event) {
        Transition<CallerSession, SessionEffect> transition = session.on(event, engine.context(session));
        session = transition.state();
        for (SessionEffect effect : transition.effects()) {
            engine.execute(this, effect);
        }
        handleQueuedMessages();
        closeIfFinished();
        reportMemory();
    }

    private void closeIfFinished() {
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
     * which a starting node receives within moments, or until the node stops, and while much output is unread.
     */
    void handleQueuedMessages() {
        while ((engine.isConfigured() || engine.isDraining())
                && !disconnected
                && !session.hasOutstandingStatement()
                && !queuedMessages.isEmpty()
                && stream().pendingBytes() < engine.callerConnections().limits().pendingOutputBytes()) {
            closing = false;
            CallerMessage message = queuedMessages.remove();
            queuedBytes -= message.heapBytes();
            statementBytes = (long) STATEMENT_COPIES * message.heapBytes();
            handleMessage(message);
            sessionBytes =
                    CallerMessage.CHARACTER_BYTES * session.sessionState().textLength();
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
            // Timers may refer to the connection for seconds after its end.
            queuedMessages.clear();
            queuedBytes = 0;
            decoder = Optional.empty();
            engine.memory().report(memoryId, this, 0);
            Transition<CallerSession, SessionEffect> transition =
                    session.on(new SessionEvent.CallerDisconnected(), engine.context(session));
            session = transition.state();
            transition.effects().forEach(effect -> engine.execute(this, effect));
            engine.removeSession(session.id());
            session = CallerSession.create(session.id(), acceptedAt);
        }
    }
}
