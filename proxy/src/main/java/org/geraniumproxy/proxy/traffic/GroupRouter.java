package org.geraniumproxy.proxy.traffic;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.proxy.telemetry.Hop;
import org.geraniumproxy.proxy.telemetry.InFlightRequests;

/** Brings requests to the coordinator of their group, which may be this VM, and tries again where that is allowed. */
final class GroupRouter {
    /** Pause before the same VMs are asked again. It spans a few view exchanges between the VMs of a region. */
    private static final Duration REDIRECT_PAUSE = Duration.ofMillis(50);

    private final TrafficContext context;
    private final GroupRequestHandler localRequests;
    private final GroupTransactionHandler localTransactions;
    private final PeerGateway peers;
    private final RetryPolicy retries;
    private final CoordinatorRanking ranking = new CoordinatorRanking();

    GroupRouter(
            TrafficContext context,
            GroupRequestHandler localRequests,
            GroupTransactionHandler localTransactions,
            PeerGateway peers,
            RetryPolicy retries) {
        this.context = context;
        this.localRequests = localRequests;
        this.localTransactions = localTransactions;
        this.peers = peers;
        this.retries = retries;
    }

    /**
     * Executes a request of one statement.
     *
     * @param request the request
     * @param ticket the counted request, whose end at the end of the drain ends the wait
     * @return the result, which is unknown if the drain ended before a peer's answer
     */
    GroupResult execute(GroupRequest request, InFlightRequests.Ticket ticket) {
        retries.requestStarted();
        SendGuard guard = new SendGuard(request.repeatable());
        int tries = 0;
        while (true) {
            tries++;
            GroupResult result = reach(
                    request,
                    ticket,
                    vm -> executeAt(vm, request, guard, ticket),
                    Function.identity(),
                    GroupResult::outcome);
            Optional<Duration> pause = guard.maySend()
                    ? retries.pauseBeforeRetry(
                            result.outcome(), request.repeatable(), tries, context.timeUntil(request.deadline()))
                    : Optional.empty();
            if (pause.isEmpty() || ticket.isEnded()) {
                return result;
            }
            context.pause(pause.get());
            if (ticket.isEnded()) {
                return result;
            }
            context.metrics().retried();
        }
    }

    /**
     * Begins a transaction.
     *
     * @param request the request that begins it
     * @param ticket the counted transaction, whose end at the end of the drain ends the wait
     * @return the transaction or the refusal
     */
    TransactionStart begin(GroupRequest request, InFlightRequests.Ticket ticket) {
        return reach(
                request,
                ticket,
                vm -> beginAt(vm, request, ticket),
                TransactionStart.Refused::new,
                GroupRouter::outcomeOf);
    }

    /**
     * Asks coordinator and standby in turn until one serves the group, the deadline has passed or the drain is over.
     */
    private <T> T reach(
            GroupRequest request,
            InFlightRequests.Ticket ticket,
            Function<Vm, T> attempt,
            Function<GroupResult, T> refusal,
            Function<T, Outcome> outcomeOf) {
        Set<VmName> failed = new HashSet<>();
        while (true) {
            Optional<Vm> target = choose(context.snapshot(), request.group(), failed);
            T answer = target.map(attempt)
                    .orElseGet(() -> refusal.apply(GroupResult.unserved(
                            Outcome.notRun(NotRunReason.UNREACHABLE, "no VM that serves the group is reachable"),
                            request.session())));
            Duration timeLeft = context.timeUntil(request.deadline());
            if (!isRedirect(outcomeOf.apply(answer)) || timeLeft.compareTo(REDIRECT_PAUSE) <= 0 || ticket.isEnded()) {
                return answer;
            }
            boolean anotherLeft = target.isPresent() && failed.add(target.get().name()) && failed.size() < 2;
            if (!anotherLeft) {
                failed.clear();
                context.pause(REDIRECT_PAUSE);
            }
        }
    }

    private GroupResult executeAt(Vm vm, GroupRequest request, SendGuard guard, InFlightRequests.Ticket ticket) {
        guard.beforeSend();
        GroupResult result = isSelf(vm)
                ? localRequests.handle(request).join()
                : context.tracing()
                        .inSpan(Hop.FORWARD, () -> forward(vm, request, ticket).join());
        if (!mayHaveReachedBackend(result.outcome())) {
            guard.notSent();
        }
        return result;
    }

    private CompletableFuture<GroupResult> forward(Vm vm, GroupRequest request, InFlightRequests.Ticket ticket) {
        return ticket.orWhenEnded(
                peers.forward(vm, request),
                () -> GroupResult.unserved(
                        Outcome.unknown("the proxy was stopped before the answer of the coordinator arrived"),
                        request.session()));
    }

    /** A transaction that a peer begins after the refusal ends with its stream, before any statement. */
    private CompletableFuture<TransactionStart> forwardBegin(
            Vm vm, GroupRequest request, InFlightRequests.Ticket ticket) {
        return ticket.orWhenEnded(
                peers.begin(vm, request),
                () -> new TransactionStart.Refused(GroupResult.unserved(
                        Outcome.notRun(NotRunReason.DRAINING, "the proxy was stopped before the transaction had begun"),
                        request.session())));
    }

    private TransactionStart beginAt(Vm vm, GroupRequest request, InFlightRequests.Ticket ticket) {
        return isSelf(vm)
                ? localTransactions.begin(request).join()
                : context.tracing()
                        .inSpan(
                                Hop.FORWARD,
                                () -> forwardBegin(vm, request, ticket).join());
    }

    private boolean isSelf(Vm vm) {
        return vm.name().equals(context.snapshot().self());
    }

    private Optional<Vm> choose(ControlSnapshot snapshot, GroupName groupName, Set<VmName> failed) {
        List<VmName> ranked = ranking.of(snapshot, groupName);
        return ranked.stream()
                .filter(name -> !failed.contains(name))
                .findFirst()
                .flatMap(snapshot.roster()::find);
    }

    /** These refusals say that the VM is not the right one; nothing has reached a backend server. */
    private static boolean isRedirect(Outcome outcome) {
        return outcome instanceof Outcome.NotRun notRun
                && (notRun.reason() == NotRunReason.NOT_COORDINATOR || notRun.reason() == NotRunReason.UNREACHABLE);
    }

    private static boolean mayHaveReachedBackend(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered _, Outcome.Unknown _ -> true;
            case Outcome.NotRun notRun -> notRun.reason() == NotRunReason.BACKEND_REFUSED;
        };
    }

    private static Outcome outcomeOf(TransactionStart start) {
        return switch (start) {
            case TransactionStart.Begun begun -> begun.result().outcome();
            case TransactionStart.Refused refused -> refused.result().outcome();
        };
    }
}
