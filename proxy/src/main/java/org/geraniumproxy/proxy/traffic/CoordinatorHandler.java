package org.geraniumproxy.proxy.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.failover.GroupView;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.pool.BackendReply;
import org.geraniumproxy.core.routing.Access;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.core.routing.ReadPlacementDecision;
import org.geraniumproxy.core.session.RequirementCheck;
import org.geraniumproxy.core.session.RequirementCheckResult;
import org.geraniumproxy.core.session.SessionRequirement;
import org.geraniumproxy.proxy.failover.Durability;
import org.geraniumproxy.proxy.pool.SlotPool;
import org.geraniumproxy.proxy.telemetry.Hop;
import org.geraniumproxy.proxy.telemetry.InFlightRequests;
import org.jboss.logging.Logger;

/** Serves one-statement requests for the groups that this VM coordinates or stands by for. */
public final class CoordinatorHandler implements GroupRequestHandler {
    private static final Logger log = Logger.getLogger(CoordinatorHandler.class);

    /** Closed connections that one request may come across before it is refused. */
    private static final int MAXIMUM_CLOSED_CONNECTIONS = 3;

    private final TrafficContext context;
    private final Durability durability;
    private final SeenPositions seen;
    private final GroupPlacement placement;
    private final BackendCall backendCall;

    /**
     * Creates the handler.
     *
     * @param context what every part of the traffic needs
     * @param pool grants slots and connections
     * @param durability tells when a write may be acknowledged
     * @param expectedWaits expected waits that are known better than from the last waits; may be empty
     */
    public CoordinatorHandler(
            TrafficContext context, SlotPool pool, Durability durability, ExpectedWaits expectedWaits) {
        this.context = context;
        this.durability = durability;
        this.seen = new SeenPositions();
        ObservedWaits observedWaits = new ObservedWaits();
        this.placement = new GroupPlacement(
                context, durability, group -> observedWaits.with(expectedWaits.of(group), context.now()), seen);
        this.backendCall = new BackendCall(context, pool, observedWaits);
    }

    /**
     * Returns the transactions of the same groups.
     *
     * @return the handler of transactions
     */
    public GroupTransactionHandler transactions() {
        return new CoordinatorTransactions(
                context, placement, backendCall, new Acknowledgement(context, durability, seen));
    }

    @Override
    public CompletableFuture<GroupResult> handle(GroupRequest request) {
        Optional<InFlightRequests.Ticket> ticket =
                context.inFlight().enterForwarded(request.requestNumber(), request.deadline());
        if (ticket.isEmpty()) {
            return CompletableFuture.completedFuture(GroupResult.unserved(stopping(), request.session()));
        }
        SendGuard guard = new SendGuard(request.repeatable());
        CompletableFuture<GroupResult> served = new CompletableFuture<>();
        // The end of the drain is awaited before the request is served, so that it always closes the guard.
        CompletableFuture<GroupResult> result =
                ticket.get().orWhenEnded(served, () -> GroupResult.unserved(ended(guard), request.session()));
        served.completeAsync(() -> serve(request, ticket.get(), guard), context.executor());
        return result;
    }

    private static Outcome ended(SendGuard guard) {
        return guard.end() ? Outcome.unknown("the coordinator was stopped after the request was sent") : stopping();
    }

    private GroupResult serve(GroupRequest request, InFlightRequests.Ticket ticket, SendGuard guard) {
        try (InFlightRequests.Ticket _ = ticket) {
            return run(request, guard);
        } catch (RequestEndedException _) {
            return GroupResult.unserved(ended(guard), request.session());
        } catch (RuntimeException e) {
            log.errorf(e, "backend: a request for group %s failed", request.group());
            Outcome outcome = guard.mayHaveBeenSent()
                    ? Outcome.unknown("the coordinator failed after the request was sent")
                    : Outcome.notRun(NotRunReason.UNREACHABLE, "the coordinator failed before the request was sent");
            return GroupResult.unserved(outcome, request.session());
        }
    }

    /** Returns the refusal that makes the entry proxy ask the next coordinator instead of refusing the caller. */
    static Outcome stopping() {
        return Outcome.notRun(NotRunReason.NOT_COORDINATOR, "this VM is being stopped and hands its groups over");
    }

    private GroupResult run(GroupRequest request, SendGuard guard) {
        Instant arrivedAt = context.now();
        Duration acceptedAge = request.access() == Access.WRITE ? Duration.ZERO : request.acceptedAge();
        int closedConnections = 0;
        while (true) {
            Placed placed = placement.place(request, acceptedAge, arrivedAt);
            if (!(placed instanceof Placed.At at)) {
                return GroupResult.unserved(((Placed.Refused) placed).outcome(), request.session());
            }
            BackendCall.CallEnd end = backendCall.run(request, at, guard);
            Optional<GroupResult> result = switch (end) {
                case BackendCall.CallEnd.PlacementChanged _ -> Optional.empty();
                case BackendCall.CallEnd.NotGranted refused ->
                    Optional.of(GroupResult.unserved(refused.outcome(), request.session()));
                case BackendCall.CallEnd.Replied replied -> conclude(request, at, replied.reply());
            };
            if (result.isPresent()) {
                return result.get();
            }
            if (end instanceof BackendCall.CallEnd.Replied replied) {
                if (replied.reply() instanceof BackendReply.NotSent) {
                    closedConnections++;
                } else if (guard.maySend()) {
                    // A replica's answer was too old; the primary's can't be.
                    acceptedAge = Duration.ZERO;
                } else {
                    return GroupResult.unserved(
                            Outcome.unknown("the replica's answer was older than the request accepts"),
                            request.session());
                }
            }
            if (closedConnections >= MAXIMUM_CLOSED_CONNECTIONS) {
                return GroupResult.unserved(
                        Outcome.notRun(NotRunReason.UNREACHABLE, "the connections to " + at.server() + " are closed"),
                        request.session());
            }
        }
    }

    /** Returns empty if the request may be placed again. */
    private Optional<GroupResult> conclude(GroupRequest request, Placed.At at, BackendReply reply) {
        return switch (reply) {
            case BackendReply.NotSent _ -> Optional.empty();
            case BackendReply.Broken broken ->
                Optional.of(GroupResult.unserved(
                        Outcome.unknown("the answer of " + at.server() + " did not arrive: " + broken.detail()),
                        request.session()));
            case BackendReply.Refused refused ->
                Optional.of(GroupResult.unserved(
                        Outcome.notRun(NotRunReason.BACKEND_REFUSED, refused.reason()), request.session()));
            case BackendReply.Completed completed ->
                context.tracing().inSpan(Hop.REPLY, () -> check(request, at, completed));
        };
    }

    private Optional<GroupResult> check(GroupRequest request, Placed.At at, BackendReply.Completed completed) {
        seen.note(request.group(), completed.position());
        if (request.access() == Access.WRITE) {
            Acknowledgement acknowledgement = new Acknowledgement(context, durability, seen);
            return Optional.of(acknowledgement.afterWrite(request, at, completed));
        }
        return at.replica() ? checkReplica(request, at, completed) : Optional.of(checkPrimary(request, at, completed));
    }

    private Optional<GroupResult> checkReplica(GroupRequest request, Placed.At at, BackendReply.Completed completed) {
        GroupView newest = context.snapshot().groups().getOrDefault(request.group(), at.view());
        ReadPlacementDecision.Read read = new ReadPlacementDecision.Read(
                request.session(),
                request.acceptedAge(),
                request.deadline(),
                ReadPlacementDecision.ReplicaWait.EXPIRED);
        return ReadPlacementDecision.acceptsReply(newest, read, completed.position(), context.now())
                ? Optional.of(answered(request, at, completed))
                : Optional.empty();
    }

    private GroupResult checkPrimary(GroupRequest request, Placed.At at, BackendReply.Completed completed) {
        LogPosition position = completed.position();
        boolean current = position.term().equals(at.view().term())
                && RequirementCheck.check(request.session(), at.view().termStarts(), position)
                        instanceof RequirementCheckResult.Satisfied;
        return current
                ? answered(request, at, completed)
                : GroupResult.unserved(
                        Outcome.unknown("the answer of " + at.server() + " is behind what the session has seen"),
                        request.session());
    }

    private static GroupResult answered(GroupRequest request, Placed.At at, BackendReply.Completed completed) {
        SessionRequirement session = new SessionRequirement(request.session().lastWrite(), completed.position());
        return new GroupResult(Outcome.answered(completed.rows()), session, Optional.of(at.server()), at.replica());
    }
}
