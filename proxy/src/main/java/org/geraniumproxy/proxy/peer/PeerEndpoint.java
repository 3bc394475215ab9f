package org.geraniumproxy.proxy.peer;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.time.Clock;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.core.session.SessionRequirement;
import org.geraniumproxy.protocol.BorrowReply;
import org.geraniumproxy.protocol.BorrowRequest;
import org.geraniumproxy.protocol.ForwardReply;
import org.geraniumproxy.protocol.ForwardRequest;
import org.geraniumproxy.protocol.ForwardTransactionRequest;
import org.geraniumproxy.protocol.NodeStatusReply;
import org.geraniumproxy.protocol.NodeStatusRequest;
import org.geraniumproxy.protocol.PeerServiceGrpc;
import org.geraniumproxy.protocol.ReturnTokensReply;
import org.geraniumproxy.protocol.ReturnTokensRequest;
import org.geraniumproxy.protocol.ViewReply;
import org.geraniumproxy.protocol.ViewRequest;
import org.geraniumproxy.proxy.traffic.GroupRequestHandler;
import org.geraniumproxy.proxy.traffic.GroupTransactionHandler;
import org.jboss.logging.Logger;

/** Serves other VMs over gRPC. It translates messages and leaves every decision to the handlers. */
public final class PeerEndpoint extends PeerServiceGrpc.PeerServiceImplBase {
    private static final Logger log = Logger.getLogger(PeerEndpoint.class);

    private final Handlers handlers;
    private final Clock clock;

    /**
     * What the service hands its calls to.
     *
     * @param requests serves forwarded requests
     * @param transactions begins forwarded transactions
     * @param lender lends tokens
     * @param views answers view exchanges
     * @param nodeStatus describes this VM for operators
     */
    public record Handlers(
            GroupRequestHandler requests,
            GroupTransactionHandler transactions,
            TokenLender lender,
            ViewExchange views,
            Supplier<NodeStatusReply> nodeStatus) {}

    /**
     * Creates the service.
     *
     * @param handlers what the service hands its calls to
     * @param clock turns the time that is left to a request into a deadline
     */
    public PeerEndpoint(Handlers handlers, Clock clock) {
        this.handlers = handlers;
        this.clock = clock;
    }

    @Override
    public void forward(ForwardRequest message, StreamObserver<ForwardReply> replies) {
        GroupRequest request;
        try {
            request = ForwardMessages.read(message, clock.instant());
        } catch (IllegalArgumentException e) {
            log.warnf("peer: a forwarded request has an impossible value: %s", e.getMessage());
            answer(CompletableFuture.completedFuture(malformed()), result -> write(message, result), replies);
            return;
        }
        answer(handlers.requests().handle(request), result -> write(message, result), replies);
    }

    @Override
    public StreamObserver<ForwardTransactionRequest> forwardTransaction(StreamObserver<ForwardReply> replies) {
        ServerCallStreamObserver<ForwardReply> stream = (ServerCallStreamObserver<ForwardReply>) replies;
        return new ForwardedTransactionStream(handlers.transactions(), clock, stream).start();
    }

    @Override
    public void exchangeView(ViewRequest request, StreamObserver<ViewReply> replies) {
        answer(handlers.views().exchange(request), Function.identity(), replies);
    }

    @Override
    public void borrow(BorrowRequest request, StreamObserver<BorrowReply> replies) {
        answer(
                CompletableFuture.completedFuture(request).thenCompose(this::lend),
                offer -> BorrowReply.newBuilder()
                        .setGranted(offer.granted())
                        .setValidityMillis(offer.validity().toMillis())
                        .setRemaining(offer.remaining())
                        .build(),
                replies);
    }

    @Override
    public void returnTokens(ReturnTokensRequest request, StreamObserver<ReturnTokensReply> replies) {
        answer(
                CompletableFuture.completedFuture(request).thenCompose(this::takeBack),
                _ -> ReturnTokensReply.getDefaultInstance(),
                replies);
    }

    @Override
    public void nodeStatus(NodeStatusRequest request, StreamObserver<NodeStatusReply> replies) {
        answer(
                CompletableFuture.completedFuture(request)
                        .thenApply(_ -> handlers.nodeStatus().get()),
                Function.identity(),
                replies);
    }

    private CompletableFuture<org.geraniumproxy.core.limit.LoanOffer> lend(BorrowRequest request) {
        return handlers.lender()
                .lend(
                        VmName.of(request.getFromVm()),
                        CustomerName.of(request.getCustomer()),
                        request.getWanted(),
                        request.getLoanIdentifier(),
                        request.getRosterRevision());
    }

    private CompletableFuture<Void> takeBack(ReturnTokensRequest request) {
        return handlers.lender()
                .returned(
                        VmName.of(request.getFromVm()),
                        CustomerName.of(request.getCustomer()),
                        request.getLoanIdentifier(),
                        request.getSpent(),
                        request.getUnspent());
    }

    static GroupResult malformed() {
        return GroupResult.unserved(
                Outcome.notRun(NotRunReason.MALFORMED_REQUEST, "a field of the forwarded request is impossible"),
                SessionRequirement.NONE);
    }

    private static ForwardReply write(ForwardRequest message, GroupResult result) {
        return ForwardMessages.write(message.getRequestNumber(), result);
    }

    private static <R, M> void answer(CompletableFuture<R> result, Function<R, M> writer, StreamObserver<M> replies) {
        var unused = result.thenApply(writer).handle((message, failure) -> {
            if (failure == null) {
                replies.onNext(message);
                replies.onCompleted();
            } else {
                log.warnf(failure, "peer: a call from another VM failed");
                replies.onError(Status.INTERNAL
                        .withDescription("the call failed on this VM")
                        .asRuntimeException());
            }
            return null;
        });
    }
}
