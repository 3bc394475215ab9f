package org.geraniumproxy.proxy.traffic;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.pool.BackendCommand;
import org.geraniumproxy.core.pool.BackendReply;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.proxy.pool.SlotPool.SlotLease;
import org.geraniumproxy.proxy.telemetry.InFlightRequests;
import org.jboss.logging.Logger;

/** Begins transactions on a connection to the primary. */
final class CoordinatorTransactions implements GroupTransactionHandler {
    private static final Logger log = Logger.getLogger(CoordinatorTransactions.class);

    private final TrafficContext context;
    private final GroupPlacement placement;
    private final BackendCall backendCall;
    private final Acknowledgement acknowledgement;

    CoordinatorTransactions(
            TrafficContext context,
            GroupPlacement placement,
            BackendCall backendCall,
            Acknowledgement acknowledgement) {
        this.context = context;
        this.placement = placement;
        this.backendCall = backendCall;
        this.acknowledgement = acknowledgement;
    }

    @Override
    public CompletableFuture<TransactionStart> begin(GroupRequest request) {
        Optional<InFlightRequests.Ticket> ticket =
                context.inFlight().enterForwarded(request.requestNumber(), request.deadline());
        if (ticket.isEmpty()) {
            return CompletableFuture.completedFuture(refused(request, CoordinatorHandler.stopping()));
        }
        // A transaction that begins after its refusal is rolled back by its own ticket.
        return ticket.get()
                .orWhenEnded(
                        CompletableFuture.supplyAsync(() -> beginCounted(request, ticket.get()), context.executor()),
                        () -> refused(request, CoordinatorHandler.stopping()));
    }

    private TransactionStart beginCounted(GroupRequest request, InFlightRequests.Ticket ticket) {
        TransactionStart start;
        try {
            start = beginNow(request, ticket);
        } catch (RuntimeException e) {
            log.errorf(e, "backend: a transaction for group %s could not begin", request.group());
            // An empty transaction has no effect, whether the database has begun it or not.
            start = refused(request, Outcome.notRun(NotRunReason.UNREACHABLE, "the transaction could not begin"));
        }
        if (start instanceof TransactionStart.Refused) {
            ticket.close();
        }
        return start;
    }

    private TransactionStart beginNow(GroupRequest request, InFlightRequests.Ticket ticket) {
        while (true) {
            Placed placed = placement.place(request, Duration.ZERO, context.now());
            if (!(placed instanceof Placed.At at)) {
                return refused(request, ((Placed.Refused) placed).outcome());
            }
            switch (backendCall.acquire(request, at)) {
                case BackendCall.Slot.Held held -> {
                    return beginOn(held.lease(), request, at, ticket);
                }
                case BackendCall.Slot.None(BackendCall.CallEnd.NotGranted(Outcome outcome)) -> {
                    return refused(request, outcome);
                }
                case BackendCall.Slot.None _ -> {
                    // The group changed while the transaction waited for a slot, so that it is placed again.
                }
            }
        }
    }

    private TransactionStart beginOn(
            SlotLease lease, GroupRequest request, Placed.At at, InFlightRequests.Ticket ticket) {
        boolean begun = false;
        try {
            BackendReply reply = backendCall.execute(lease.connection(), new BackendCommand.Begin(), request, at);
            if (reply instanceof BackendReply.Completed completed && completed.transactionOpen()) {
                begun = true;
                lease.yieldSlot();
                CoordinatorTransaction transaction = new CoordinatorTransaction(
                        context,
                        backendCall,
                        acknowledgement,
                        new PinnedConnection(lease, ticket),
                        request,
                        at,
                        ticket);
                transaction.endAtDeadlineOrStop();
                return new TransactionStart.Begun(
                        transaction, GroupResult.unserved(Outcome.answered(List.of()), request.session()));
            }
            return refused(request, refusal(reply));
        } finally {
            if (!begun) {
                lease.connection().close();
                lease.release();
            }
        }
    }

    private static Outcome refusal(BackendReply reply) {
        return switch (reply) {
            case BackendReply.Refused refused -> Outcome.notRun(NotRunReason.BACKEND_REFUSED, refused.reason());
            case BackendReply.NotSent _, BackendReply.Broken _, BackendReply.Completed _ ->
                Outcome.notRun(NotRunReason.UNREACHABLE, "the backend server did not begin the transaction");
        };
    }

    private static TransactionStart refused(GroupRequest request, Outcome outcome) {
        return new TransactionStart.Refused(GroupResult.unserved(outcome, request.session()));
    }
}
