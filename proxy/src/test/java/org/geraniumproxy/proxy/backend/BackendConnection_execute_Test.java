package org.geraniumproxy.proxy.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.geraniumproxy.core.configuration.BackendServer;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.pool.BackendCommand;
import org.geraniumproxy.core.pool.BackendReply;
import org.geraniumproxy.protocol.ConnectionReply;
import org.geraniumproxy.protocol.ConnectionRequest;
import org.geraniumproxy.proxy.testing.LocalTransport;
import org.geraniumproxy.proxy.transport.ChannelCache;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against accepting replies that are incomplete or belong to another request, and against reporting a command as
 * not sent although it was sent.
 */
class BackendConnection_execute_Test {
    private static final BackendServer SERVER = new BackendServer(
            BackendServerName.of("ledger-1a"), "backend", RegionName.of("lima"), FailureDomain.of("lima-1"));
    private static final BackendCommand READ = new BackendCommand.Execute("GET act", false);

    private final LocalTransport transport = new LocalTransport();
    private final GrpcBackendClient client = new GrpcBackendClient(
            new ChannelCache(transport, Clock.systemUTC()), transport.executor(), Clock.systemUTC());

    @AfterEach
    void close() {
        client.close();
        transport.close();
    }

    @Test
    void should_return_rows_when_end_mark_counts_them() {
        // given
        BackendConnection connection = connect((request, replies) -> {
            replies.onNext(ScriptedBackend.row(request.getRequestNumber(), "mime"));
            replies.onNext(ScriptedBackend.end(request.getRequestNumber(), 1));
        });

        // when
        BackendReply reply = execute(connection);

        // then
        assertThat(reply, equalTo(new BackendReply.Completed(List.of("mime"), LogPosition.of(8192, 5), false)));
        assertThat(connection.isClean(), is(true));
    }

    @Test
    void should_break_when_end_mark_counts_more_rows_than_arrived() {
        // given a truncated reply
        BackendConnection connection =
                connect((request, replies) -> replies.onNext(ScriptedBackend.end(request.getRequestNumber(), 1)));

        // when
        BackendReply reply = execute(connection);

        // then
        assertThat(reply, instanceOf(BackendReply.Broken.class));
        assertThat(connection.isClean(), is(false));
    }

    @Test
    void should_break_when_reply_belongs_to_another_request() {
        // given a reply with another request number
        BackendConnection connection =
                connect((request, replies) -> replies.onNext(ScriptedBackend.end(request.getRequestNumber() + 1, 0)));

        // when
        BackendReply reply = execute(connection);

        // then
        assertThat(reply, instanceOf(BackendReply.Broken.class));
    }

    @Test
    void should_break_next_command_when_late_reply_arrives() {
        // given a second end mark for the first request
        BackendConnection connection = connect((request, replies) -> {
            if (request.getRequestNumber() == 1) {
                replies.onNext(ScriptedBackend.end(1, 0));
            } else {
                replies.onNext(ScriptedBackend.end(1, 0));
                replies.onNext(ScriptedBackend.end(2, 0));
            }
        });
        BackendReply first = execute(connection);

        // when
        BackendReply second = execute(connection);

        // then
        assertThat(first, instanceOf(BackendReply.Completed.class));
        assertThat(second, instanceOf(BackendReply.Broken.class));
        assertThat(connection.isClean(), is(false));
    }

    @Test
    void should_break_when_stream_fails_after_command_was_sent() {
        // given
        BackendConnection connection = connect((request, replies) -> replies.onError(Status.UNAVAILABLE.asException()));

        // when
        BackendReply reply = execute(connection);

        // then the command is not reported as not sent
        assertThat(reply, instanceOf(BackendReply.Broken.class));
    }

    @Test
    void should_not_send_when_connection_is_closed() {
        // given
        ScriptedBackend backend = new ScriptedBackend(
                (request, replies) -> replies.onNext(ScriptedBackend.end(request.getRequestNumber(), 0)));
        BackendConnection connection = connect(backend);
        execute(connection);
        connection.close();

        // when
        BackendReply reply = execute(connection);

        // then
        assertThat(reply, instanceOf(BackendReply.NotSent.class));
        assertThat(backend.received, hasSize(1));
    }

    private BackendConnection connect(BiConsumer<ConnectionRequest, StreamObserver<ConnectionReply>> script) {
        return connect(new ScriptedBackend(script));
    }

    private BackendConnection connect(ScriptedBackend backend) {
        transport.serve("backend", backend);
        return client.open(SERVER).orTimeout(20, TimeUnit.SECONDS).join();
    }

    private static BackendReply execute(BackendConnection connection) {
        return connection
                .execute(READ, Term.of(8192), CustomerName.of("troupes"))
                .orTimeout(20, TimeUnit.SECONDS)
                .join();
    }
}
