package org.geraniumproxy.proxy.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.admission.Admission;
import org.geraniumproxy.core.admission.AdmissionDecision;
import org.geraniumproxy.core.admission.CallerRequest;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.limit.RateDecision;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.routing.Access;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.proxy.limit.RateLimiter;
import org.geraniumproxy.proxy.telemetry.Hop;
import org.geraniumproxy.proxy.telemetry.InFlightRequests;
import org.jboss.logging.Logger;

/**
 * The entry proxy's part of a request, for any caller front end. Its methods block, so call them on virtual threads.
 *
 * <pre>{@code
 * EntryReply reply = entryHandler.execute(request);
 * }</pre>
 */
public final class EntryHandler {
    private static final Logger log = Logger.getLogger(EntryHandler.class);

    private final TrafficContext context;
    private final RateLimiter rateLimiter;
    private final GroupRouter router;

    /**
     * Creates the handler.
     *
     * @param context what every part of the traffic needs
     * @param rateLimiter keeps customers to their rate
     * @param local serves the groups of this VM
     * @param localTransactions begins transactions for the groups of this VM
     * @param peers the way to other VMs
     * @param retries decides about further tries
     */
    public EntryHandler(
            TrafficContext context,
            RateLimiter rateLimiter,
            GroupRequestHandler local,
            GroupTransactionHandler localTransactions,
            PeerGateway peers,
            RetryPolicy retries) {
        this.context = context;
        this.rateLimiter = rateLimiter;
        this.router = new GroupRouter(context, local, localTransactions, peers, retries);
    }

    /**
     * Executes a request of one statement.
     *
     * @param request the request
     * @return the reply; every failure is an outcome
     */
    public EntryReply execute(CallerRequest request) {
        Instant arrivedAt = context.now();
        EntryReply reply = context.tracing().inSpan(Hop.CALLER_ENTRY, () -> executeCounted(request));
        context.metrics().ended(reply.outcome(), Duration.between(arrivedAt, context.now()));
        if (reply.outcome() instanceof Outcome.Answered && request.access().equals(Optional.of(Access.READ))) {
            context.metrics().readServed(reply.servedByReplica());
        }
        return reply;
    }

    /**
     * Begins a transaction.
     *
     * @param request the request that begins it, with an empty statement; its deadline is that of the whole transaction
     * @return the open transaction or the refusal
     */
    public EntryTransactionStart begin(CallerRequest request) {
        Instant arrivedAt = context.now();
        EntryTransactionStart start = context.tracing().inSpan(Hop.CALLER_ENTRY, () -> beginCounted(request));
        context.metrics().ended(start.reply().outcome(), Duration.between(arrivedAt, context.now()));
        return start;
    }

    private EntryReply executeCounted(CallerRequest request) {
        Optional<InFlightRequests.Ticket> ticket = context.inFlight().enter(request.requestNumber());
        if (ticket.isEmpty()) {
            return refused(request, draining());
        }
        try (InFlightRequests.Ticket _ = ticket.get()) {
            return switch (admit(request, ticket.get())) {
                case Admission.Refused refused -> refused(request, refused.outcome());
                case Admission.Admitted admitted -> serve(admitted, ticket.get());
            };
        }
    }

    private EntryReply serve(Admission.Admitted admitted, InFlightRequests.Ticket ticket) {
        GroupRequest request = admitted.request();
        GroupResult result;
        try {
            result = router.execute(request, ticket);
        } catch (RuntimeException e) {
            log.errorf(e, "caller: a request for group %s failed", request.group());
            result = GroupResult.unserved(Outcome.unknown("the proxy failed"), request.session());
        }
        return EntryReply.of(request.requestNumber(), admitted.token(), request.group(), result);
    }

    private EntryTransactionStart beginCounted(CallerRequest request) {
        if (!request.statement().isEmpty()) {
            Outcome outcome = Outcome.notRun(
                    NotRunReason.MALFORMED_REQUEST, "the beginning of a transaction must have no statement");
            return new EntryTransactionStart.Refused(refused(request, outcome));
        }
        Optional<InFlightRequests.Ticket> ticket = context.inFlight().enter(request.requestNumber());
        if (ticket.isEmpty()) {
            return new EntryTransactionStart.Refused(refused(request, draining()));
        }
        EntryTransactionStart start = switch (admit(request, ticket.get())) {
            case Admission.Refused refused -> new EntryTransactionStart.Refused(refused(request, refused.outcome()));
            case Admission.Admitted admitted -> open(request, admitted, ticket.get());
        };
        if (start instanceof EntryTransactionStart.Refused) {
            ticket.get().close();
        }
        return start;
    }

    private EntryTransactionStart open(
            CallerRequest request, Admission.Admitted admitted, InFlightRequests.Ticket ticket) {
        GroupRequest groupRequest = admitted.request();
        TransactionStart start;
        try {
            start = router.begin(groupRequest, ticket);
        } catch (RuntimeException e) {
            log.errorf(e, "caller: a transaction for group %s could not begin", groupRequest.group());
            Outcome outcome = Outcome.notRun(NotRunReason.UNREACHABLE, "the transaction could not begin");
            start = new TransactionStart.Refused(GroupResult.unserved(outcome, groupRequest.session()));
        }
        return switch (start) {
            case TransactionStart.Refused refused ->
                new EntryTransactionStart.Refused(reply(admitted, refused.result()));
            case TransactionStart.Begun begun ->
                new EntryTransactionStart.Begun(
                        EntryTransaction.open(context, this, request, admitted, begun.transaction(), ticket),
                        reply(admitted, begun.result()));
        };
    }

    /**
     * Takes a rate token and then checks the request again, because the key may be withdrawn during the wait. If it has
     * moved to another customer, the request needs a token of that one.
     */
    private Admission admit(CallerRequest request, InFlightRequests.Ticket ticket) {
        Instant arrivedAt = context.now();
        Admission first = AdmissionDecision.decide(context.snapshot(), request, arrivedAt);
        if (!(first instanceof Admission.Admitted admitted)) {
            return first;
        }
        Optional<Outcome.NotRun> limited =
                takeToken(admitted.token().customer(), admitted.request().deadline(), ticket);
        if (limited.isPresent()) {
            return new Admission.Refused(limited.get());
        }
        Instant now = context.now();
        return switch (AdmissionDecision.decide(context.snapshot(), request, now)) {
            case Admission.Refused refused -> refused;
            case Admission.Admitted latest when latest.isForCustomerOf(admitted) -> admitted;
            case Admission.Admitted _ ->
                admit(
                        request.withTimeLeft(
                                Duration.between(now, admitted.request().deadline())),
                        ticket);
        };
    }

    /**
     * Takes a rate token.
     *
     * @param customer the customer
     * @param deadline moment at which the request is no longer wanted
     * @param ticket the counted request, whose end at the end of the drain ends the wait
     * @return the refusal, or empty if a token was taken
     */
    Optional<Outcome.NotRun> takeToken(CustomerName customer, Instant deadline, InFlightRequests.Ticket ticket) {
        try {
            CompletableFuture<Optional<Outcome.NotRun>> decision =
                    rateLimiter.acquire(customer, deadline).thenApply(EntryHandler::refusalOf);
            return ticket.orWhenEnded(decision, () -> Optional.of(draining())).join();
        } catch (RuntimeException e) {
            log.errorf(e, "limit: no decision for customer %s", customer);
            return Optional.of(new Outcome.NotRun(
                    NotRunReason.UNREACHABLE, "the rate of the customer could not be checked", Duration.ZERO));
        }
    }

    private static Optional<Outcome.NotRun> refusalOf(RateDecision decision) {
        return switch (decision) {
            case RateDecision.Admitted _ -> Optional.empty();
            case RateDecision.Refused refused ->
                Optional.of(new Outcome.NotRun(
                        NotRunReason.RATE_EXCEEDED, "the customer is over its rate and burst", refused.retryAfter()));
        };
    }

    private static EntryReply reply(Admission.Admitted admitted, GroupResult result) {
        GroupRequest request = admitted.request();
        return EntryReply.of(request.requestNumber(), admitted.token(), request.group(), result);
    }

    private static EntryReply refused(CallerRequest request, Outcome outcome) {
        boolean tokenRefused = outcome instanceof Outcome.NotRun notRun
                && (notRun.reason() == NotRunReason.MALFORMED_TOKEN || notRun.reason() == NotRunReason.FOREIGN_TOKEN);
        return EntryReply.refused(request.requestNumber(), outcome, tokenRefused ? "" : request.sessionToken());
    }

    private static Outcome.NotRun draining() {
        return new Outcome.NotRun(
                NotRunReason.DRAINING, "the proxy is being stopped; connect again to another one", Duration.ZERO);
    }
}
