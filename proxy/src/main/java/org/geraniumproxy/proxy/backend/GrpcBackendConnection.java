package org.geraniumproxy.proxy.backend;

import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.pool.BackendCommand;
import org.geraniumproxy.core.pool.BackendReply;
import org.geraniumproxy.protocol.ConnectionReply;
import org.geraniumproxy.protocol.ConnectionRequest;
import org.geraniumproxy.protocol.End;
import org.geraniumproxy.protocol.Refusal;
import org.jboss.logging.Logger;

/**
 * Connection over one gRPC stream. A message that is not the next part of the reply to the running command breaks the
 * connection, because later replies could no longer be matched to their requests.
 */
final class GrpcBackendConnection implements BackendConnection {
    private static final Logger log = Logger.getLogger(GrpcBackendConnection.class);

    /** Request number of the rollback that confirms the connection; commands of callers get higher numbers. */
    private static final long CONFIRMATION_REQUEST_NUMBER = 0;

    private final Object lock = new Object();
    private final Executor executor;
    private final CompletableFuture<BackendConnection> opened = new CompletableFuture<>();
    private ClientCallStreamObserver<ConnectionRequest> requests;
    private long lastRequestNumber = CONFIRMATION_REQUEST_NUMBER;
    private boolean transactionOpen;
    private State state = new Ready();

    /** State of the connection, guarded by the lock. */
    private sealed interface State {}

    /** No command is running. */
    private record Ready() implements State {}

    /** A command was sent and its reply is not complete. */
    private record Running(long requestNumber, List<String> rows, CompletableFuture<BackendReply> result)
            implements State {}

    /** The stream can no longer be used. */
    private record Closed(String detail) implements State {}

    /**
     * Creates a connection whose stream is not open yet.
     *
     * @param executor completes the futures, so that no continuation runs while the lock is held
     */
    GrpcBackendConnection(Executor executor) {
        this.executor = executor;
    }

    CompletableFuture<BackendConnection> opened() {
        return opened;
    }

    ClientResponseObserver<ConnectionRequest, ConnectionReply> replyObserver() {
        return new ReplyObserver();
    }

    /**
     * Sends a rollback as the first command. Any reply, even a rejection, shows that the backend server has accepted
     * the connection. Otherwise a connection above the backend server's limit would fail only after a statement was
     * sent, whose outcome would then be unknown.
     */
    void confirm() {
        CompletableFuture<BackendReply> answer = new CompletableFuture<>();
        synchronized (lock) {
            if (state instanceof Ready) {
                state = new Running(CONFIRMATION_REQUEST_NUMBER, new ArrayList<>(), answer);
                sendOrFail(BackendMessages.encodeConfirmation(CONFIRMATION_REQUEST_NUMBER));
            }
        }
        var unused = answer.thenAccept(reply -> {
            switch (reply) {
                case BackendReply.Completed _, BackendReply.Refused _ -> opened.complete(this);
                case BackendReply.NotSent _, BackendReply.Broken _ ->
                    opened.completeExceptionally(new IllegalStateException("the connection was not accepted"));
            }
        });
    }

    @Override
    public CompletableFuture<BackendReply> execute(BackendCommand command, Term term, CustomerName customer) {
        CompletableFuture<BackendReply> result = new CompletableFuture<>();
        synchronized (lock) {
            switch (state) {
                case Running _ -> throw new IllegalStateException("another command is running on the connection");
                case Closed closed -> complete(result, new BackendReply.NotSent(closed.detail()));
                case Ready _ -> send(command, term, customer, result);
            }
        }
        return result;
    }

    private void send(
            BackendCommand command, Term term, CustomerName customer, CompletableFuture<BackendReply> result) {
        lastRequestNumber++;
        ConnectionRequest request = BackendMessages.encodeRequest(lastRequestNumber, command, term, customer);
        state = new Running(lastRequestNumber, new ArrayList<>(), result);
        sendOrFail(request);
    }

    private void sendOrFail(ConnectionRequest request) {
        try {
            requests.onNext(request);
        } catch (RuntimeException e) {
            // gRPC does not say whether the message was sent when it throws, so the command counts as sent.
            fail("the stream failed while the command was sent");
        }
    }

    @Override
    public boolean isClean() {
        synchronized (lock) {
            return state instanceof Ready && !transactionOpen;
        }
    }

    @Override
    public void close() {
        ClientCallStreamObserver<ConnectionRequest> stream;
        synchronized (lock) {
            stream = requests;
            fail("the connection was closed");
        }
        if (stream != null) {
            // Half-closing would keep the stream until the backend server replies, which may be isolated.
            stream.cancel("the connection is closed", null);
        }
    }

    /** Closes the connection state and completes the running command as broken. */
    private void fail(String detail) {
        State before = state;
        if (before instanceof Closed) {
            return;
        }
        state = new Closed(detail);
        if (before instanceof Running running) {
            complete(running.result(), new BackendReply.Broken(detail));
        }
    }

    private void breakStream(String detail) {
        log.warnf("backend: closing a broken connection: %s", detail);
        fail(detail);
        requests.cancel(detail, null);
    }

    private void receive(ConnectionReply reply) {
        if (state instanceof Closed) {
            return;
        }
        if (!(state instanceof Running running)) {
            breakStream("a reply arrived while no command was running");
            return;
        }
        if (reply.getRequestNumber() != running.requestNumber()) {
            breakStream("a reply to request " + reply.getRequestNumber() + " arrived while request "
                    + running.requestNumber() + " was running");
            return;
        }
        switch (reply.getPartCase()) {
            case ROW -> running.rows().add(reply.getRow().getValue());
            case END -> finish(running, reply.getEnd());
            case REFUSAL -> reject(running, reply.getRefusal());
            default -> breakStream("a reply without content arrived");
        }
    }

    private void finish(Running running, End end) {
        if (end.getRowCount() != running.rows().size()) {
            breakStream("the end mark counts " + end.getRowCount() + " rows, but "
                    + running.rows().size() + " arrived");
            return;
        }
        LogPosition position = LogPosition.of(end.getTerm(), end.getPosition());
        transactionOpen = end.getTransactionOpen();
        state = new Ready();
        complete(running.result(), new BackendReply.Completed(running.rows(), position, transactionOpen));
    }

    private void reject(Running running, Refusal refusal) {
        if (!running.rows().isEmpty()) {
            breakStream("a refusal arrived after rows");
            return;
        }
        transactionOpen = refusal.getTransactionOpen();
        state = new Ready();
        complete(
                running.result(),
                new BackendReply.Refused(refusal.getReason(), Term.of(refusal.getFencedTerm()), transactionOpen));
    }

    private void complete(CompletableFuture<BackendReply> result, BackendReply reply) {
        executor.execute(() -> result.complete(reply));
    }

    /** Receives the stream's events on the client's executor, one at a time. */
    private final class ReplyObserver implements ClientResponseObserver<ConnectionRequest, ConnectionReply> {
        @Override
        public void beforeStart(ClientCallStreamObserver<ConnectionRequest> stream) {
            synchronized (lock) {
                requests = stream;
            }
        }

        @Override
        public void onNext(ConnectionReply reply) {
            synchronized (lock) {
                receive(reply);
            }
        }

        @Override
        public void onError(Throwable failure) {
            opened.completeExceptionally(failure);
            synchronized (lock) {
                fail("the stream to the backend server failed");
            }
        }

        @Override
        public void onCompleted() {
            synchronized (lock) {
                fail("the backend server closed the stream");
            }
            opened.completeExceptionally(new IllegalStateException("the backend server closed the stream"));
        }
    }
}
