package org.geraniumproxy.proxy.backend;

import io.grpc.stub.StreamObserver;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import org.geraniumproxy.protocol.BackendServiceGrpc;
import org.geraniumproxy.protocol.ConnectionReply;
import org.geraniumproxy.protocol.ConnectionRequest;
import org.geraniumproxy.protocol.End;
import org.geraniumproxy.protocol.Row;

/** Fake backend server whose replies are defined by the test. It accepts every connection. */
final class ScriptedBackend extends BackendServiceGrpc.BackendServiceImplBase {
    final List<ConnectionRequest> received = new CopyOnWriteArrayList<>();
    private final BiConsumer<ConnectionRequest, StreamObserver<ConnectionReply>> script;

    ScriptedBackend(BiConsumer<ConnectionRequest, StreamObserver<ConnectionReply>> script) {
        this.script = script;
    }

    @Override
    public StreamObserver<ConnectionRequest> open(StreamObserver<ConnectionReply> replies) {
        return new StreamObserver<>() {
            @Override
            public void onNext(ConnectionRequest request) {
                if (request.getRequestNumber() == 0) {
                    replies.onNext(end(0, 0));
                    return;
                }
                received.add(request);
                script.accept(request, replies);
            }

            @Override
            public void onError(Throwable failure) {}

            @Override
            public void onCompleted() {
                replies.onCompleted();
            }
        };
    }

    static ConnectionReply row(long requestNumber, String value) {
        return ConnectionReply.newBuilder()
                .setRequestNumber(requestNumber)
                .setRow(Row.newBuilder().setValue(value))
                .build();
    }

    static ConnectionReply end(long requestNumber, int rows) {
        return ConnectionReply.newBuilder()
                .setRequestNumber(requestNumber)
                .setEnd(End.newBuilder().setRowCount(rows).setTerm(8192).setPosition(5))
                .build();
    }
}
