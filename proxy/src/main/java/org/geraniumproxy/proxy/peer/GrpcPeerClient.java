package org.geraniumproxy.proxy.peer;

import io.grpc.CallOptions;
import io.grpc.stub.ClientCalls;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.LoanOffer;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.protocol.BorrowReply;
import org.geraniumproxy.protocol.BorrowRequest;
import org.geraniumproxy.protocol.ForwardReply;
import org.geraniumproxy.protocol.PeerServiceGrpc;
import org.geraniumproxy.protocol.PeerServiceGrpc.PeerServiceStub;
import org.geraniumproxy.protocol.ReturnTokensReply;
import org.geraniumproxy.protocol.ReturnTokensRequest;
import org.geraniumproxy.protocol.ViewReply;
import org.geraniumproxy.protocol.ViewRequest;
import org.geraniumproxy.proxy.traffic.PeerGateway;
import org.geraniumproxy.proxy.traffic.TransactionStart;
import org.geraniumproxy.proxy.transport.ChannelCache;
import org.geraniumproxy.proxy.transport.UnaryReply;
import org.jboss.logging.Logger;

/** Reaches other VMs over gRPC. */
public final class GrpcPeerClient implements PeerClient, PeerGateway {
    private static final Logger log = Logger.getLogger(GrpcPeerClient.class);

    /** Longest time for one view exchange. A VM counts as down after 2 s, so that one lost exchange is tolerated. */
    static final Duration VIEW_TIMEOUT = Duration.ofSeconds(1);

    /** Longest time for one loan. A loan is valid for 1 s from its request, so a later reply would be of little use. */
    static final Duration LOAN_TIMEOUT = Duration.ofMillis(500);

    /**
     * Time past the deadline that a forwarded call still waits, so that the coordinator's own answer at the deadline,
     * which is more precise than a timeout here, can arrive.
     */
    static final Duration REPLY_GRACE = Duration.ofMillis(100);

    private final VmName self;
    private final ChannelCache channels;
    private final Executor executor;
    private final Clock clock;

    /**
     * Creates a client.
     *
     * @param self the VM of this process
     * @param channels the channels to other VMs, closed with the client
     * @param executor completes the futures
     * @param clock measures the time that is left to requests
     */
    public GrpcPeerClient(VmName self, ChannelCache channels, Executor executor, Clock clock) {
        this.self = self;
        this.channels = channels;
        this.executor = executor;
        this.clock = clock;
    }

    @Override
    public CompletableFuture<GroupResult> forward(Vm vm, GroupRequest request) {
        Duration timeLeft = Duration.between(clock.instant(), request.deadline());
        if (!timeLeft.isPositive()) {
            return CompletableFuture.completedFuture(deadlinePassed(request));
        }
        DepartureTracer departure = new DepartureTracer();
        UnaryReply<ForwardReply> reply = new UnaryReply<>();
        CallOptions options = CallOptions.DEFAULT
                .withExecutor(executor)
                .withDeadlineAfter(timeLeft.plus(REPLY_GRACE).toMillis(), TimeUnit.MILLISECONDS)
                .withStreamTracerFactory(departure);
        ClientCalls.asyncUnaryCall(
                channels.channel(vm.address()).newCall(PeerServiceGrpc.getForwardMethod(), options),
                ForwardMessages.write(request, timeLeft),
                reply);
        return reply.future().handle((message, failure) -> {
            if (failure == null) {
                return ForwardMessages.read(request.requestNumber(), message, request.session());
            }
            channels.recordFailure(vm.address(), failure);
            return GroupResult.unserved(unanswered(vm, departure), request.session());
        });
    }

    @Override
    public CompletableFuture<TransactionStart> begin(Vm vm, GroupRequest request) {
        Duration timeLeft = Duration.between(clock.instant(), request.deadline());
        if (!timeLeft.isPositive()) {
            return CompletableFuture.completedFuture(new TransactionStart.Refused(deadlinePassed(request)));
        }
        ForwardedTransaction transaction = new ForwardedTransaction(request, executor);
        PeerServiceGrpc.newStub(channels.channel(vm.address()))
                .withExecutor(executor)
                .withDeadlineAfter(timeLeft.plus(REPLY_GRACE).toMillis(), TimeUnit.MILLISECONDS)
                .forwardTransaction(transaction.replies(failure -> channels.recordFailure(vm.address(), failure)));
        return transaction.begin(ForwardMessages.write(request, timeLeft));
    }

    @Override
    public CompletableFuture<ViewReply> exchangeView(Vm vm, ViewRequest request) {
        return call(vm, VIEW_TIMEOUT, (stub, reply) -> stub.exchangeView(request, reply));
    }

    @Override
    public CompletableFuture<LoanOffer> borrow(
            Vm vm, CustomerName customer, int wanted, long loanIdentifier, long rosterRevision) {
        BorrowRequest request = BorrowRequest.newBuilder()
                .setFromVm(self.value())
                .setCustomer(customer.value())
                .setRosterRevision(rosterRevision)
                .setWanted(wanted)
                .setLoanIdentifier(loanIdentifier)
                .build();
        return this.<BorrowReply>call(vm, LOAN_TIMEOUT, (stub, reply) -> stub.borrow(request, reply))
                .thenApply(reply -> new LoanOffer(
                        reply.getGranted(), Duration.ofMillis(reply.getValidityMillis()), reply.getRemaining()));
    }

    @Override
    public void returnTokens(Vm vm, CustomerName customer, long loanIdentifier, int spent, int unspent) {
        ReturnTokensRequest request = ReturnTokensRequest.newBuilder()
                .setFromVm(self.value())
                .setCustomer(customer.value())
                .setLoanIdentifier(loanIdentifier)
                .setSpent(spent)
                .setUnspent(unspent)
                .build();
        CompletableFuture<ReturnTokensReply> returned =
                call(vm, LOAN_TIMEOUT, (stub, reply) -> stub.returnTokens(request, reply));
        // The lender counts an unreported loan as spent, so that a lost report only loses tokens.
        var unused = returned.exceptionally(failure -> {
            log.debugf("peer: %s did not take back the tokens of a loan", vm.name());
            return ReturnTokensReply.getDefaultInstance();
        });
    }

    @Override
    public void close() {
        channels.close();
    }

    private <T> CompletableFuture<T> call(Vm vm, Duration timeout, BiConsumer<PeerServiceStub, UnaryReply<T>> start) {
        UnaryReply<T> reply = new UnaryReply<>();
        PeerServiceStub stub = PeerServiceGrpc.newStub(channels.channel(vm.address()))
                .withExecutor(executor)
                .withDeadlineAfter(timeout.toMillis(), TimeUnit.MILLISECONDS);
        start.accept(stub, reply);
        return reply.future().whenComplete((value, failure) -> {
            if (failure != null) {
                channels.recordFailure(vm.address(), failure);
            }
        });
    }

    private static Outcome unanswered(Vm vm, DepartureTracer departure) {
        return departure.mayHaveLeft()
                ? Outcome.unknown("coordinator " + vm.name() + " did not answer")
                : Outcome.notRun(NotRunReason.UNREACHABLE, "coordinator " + vm.name() + " could not be reached");
    }

    private static GroupResult deadlinePassed(GroupRequest request) {
        Outcome outcome = Outcome.notRun(
                NotRunReason.DEADLINE_UNREACHABLE, "the deadline passed before the request was forwarded");
        return GroupResult.unserved(outcome, request.session());
    }
}
