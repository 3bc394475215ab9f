package org.geraniumproxy.proxy.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.routing.Access;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.core.session.SessionRequirement;
import org.geraniumproxy.protocol.Answer;
import org.geraniumproxy.protocol.ForwardReply;
import org.geraniumproxy.protocol.ForwardRequest;
import org.geraniumproxy.protocol.NodeStatusReply;
import org.geraniumproxy.protocol.PeerServiceGrpc;
import org.geraniumproxy.proxy.testing.LocalTransport;
import org.geraniumproxy.proxy.traffic.GroupRequestHandler;
import org.geraniumproxy.proxy.transport.ChannelCache;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a forwarded request that may have run and is reported as not run, and against foreign answers. */
class PeerClient_forward_Test {
    private static final Vm COORDINATOR =
            new Vm(1, VmName.of("vm-1"), "vm-1", RegionName.of("lima"), FailureDomain.of("lima-1"), 1, false);
    private final GroupRequest request = new GroupRequest(
            7,
            CustomerName.of("troupes"),
            GroupName.of("ledger-1"),
            "PUT act mime",
            Access.WRITE,
            false,
            Duration.ZERO,
            Instant.now().plusSeconds(60),
            new SessionRequirement(LogPosition.of(8192, 3), LogPosition.of(8192, 4)));

    private final LocalTransport transport = new LocalTransport();
    private final GrpcPeerClient client = new GrpcPeerClient(
            VmName.of("vm-0"), new ChannelCache(transport, Clock.systemUTC()), transport.executor(), Clock.systemUTC());

    @AfterEach
    void close() {
        client.close();
        transport.close();
    }

    @Test
    void should_return_result_when_coordinator_answers() {
        // given
        CompletableFuture<GroupRequest> received = new CompletableFuture<>();
        SessionRequirement after = new SessionRequirement(LogPosition.of(8192, 5), LogPosition.of(8192, 4));
        GroupResult served = GroupResult.unserved(Outcome.answered(List.of("done")), after);
        serve(forwarded -> {
            received.complete(forwarded);
            return CompletableFuture.completedFuture(served);
        });

        // when
        GroupResult result = forward();

        // then
        assertThat(result, equalTo(served));
        assertThat(received.join().session(), equalTo(request.session()));
        assertThat(received.join().statement(), equalTo(request.statement()));
    }

    @Test
    void should_be_not_run_when_coordinator_cannot_be_reached() {
        // given no coordinator

        // when
        GroupResult result = forward();

        // then
        assertThat(((Outcome.NotRun) result.outcome()).reason(), equalTo(NotRunReason.UNREACHABLE));
    }

    @Test
    void should_be_unknown_when_stream_fails_after_call_left() {
        // given
        transport.serve("vm-1", new PeerServiceGrpc.PeerServiceImplBase() {
            @Override
            public void forward(ForwardRequest message, StreamObserver<ForwardReply> replies) {
                replies.onError(Status.UNAVAILABLE.asException());
            }
        });

        // when
        GroupResult result = forward();

        // then
        assertThat(result.outcome(), instanceOf(Outcome.Unknown.class));
    }

    @Test
    void should_be_unknown_when_answer_belongs_to_another_request() {
        // given
        transport.serve("vm-1", new PeerServiceGrpc.PeerServiceImplBase() {
            @Override
            public void forward(ForwardRequest message, StreamObserver<ForwardReply> replies) {
                Answer swapped = Answer.newBuilder()
                        .setRequestNumber(8)
                        .setComplete(true)
                        .build();
                replies.onNext(ForwardReply.newBuilder()
                        .setOutcome(
                                org.geraniumproxy.protocol.Outcome.newBuilder().setAnswer(swapped))
                        .build());
                replies.onCompleted();
            }
        });

        // when
        GroupResult result = forward();

        // then
        assertThat(result.outcome(), instanceOf(Outcome.Unknown.class));
    }

    private void serve(GroupRequestHandler handler) {
        PeerEndpoint.Handlers handlers =
                new PeerEndpoint.Handlers(handler, null, null, null, NodeStatusReply::getDefaultInstance);
        transport.serve("vm-1", new PeerEndpoint(handlers, Clock.systemUTC()));
    }

    private GroupResult forward() {
        return client.forward(COORDINATOR, request)
                .orTimeout(20, TimeUnit.SECONDS)
                .join();
    }
}
