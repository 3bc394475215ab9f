package org.geraniumproxy.proxy.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.failover.BackendStatus;
import org.geraniumproxy.core.failover.GroupView;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.ReadPlacement;
import org.geraniumproxy.core.routing.ReadPlacementDecision;
import org.geraniumproxy.core.routing.ReadPlacementDecision.ReplicaWait;
import org.geraniumproxy.core.session.RequirementCheck;
import org.geraniumproxy.core.session.RequirementCheckResult;
import org.geraniumproxy.proxy.failover.Durability;

/** Finds the database for a request and waits for a replica or a primary within the deadline. */
final class GroupPlacement {
    /** Longest wait before the placement is decided again; two rounds of the databases' status reports. */
    private static final Duration LONGEST_WAIT = Duration.ofMillis(200);

    private final TrafficContext context;
    private final Durability durability;
    private final ExpectedWaits expectedWaits;
    private final SeenPositions seen;

    GroupPlacement(TrafficContext context, Durability durability, ExpectedWaits expectedWaits, SeenPositions seen) {
        this.context = context;
        this.durability = durability;
        this.expectedWaits = expectedWaits;
        this.seen = seen;
    }

    /**
     * Places a request. An accepted age of zero leads to the primary.
     *
     * @param request the request
     * @param acceptedAge greatest age of the data
     * @param arrivedAt moment at which the request arrived
     * @return where it runs
     */
    Placed place(GroupRequest request, Duration acceptedAge, Instant arrivedAt) {
        Instant replicaWaitOver = Instant.MAX;
        while (true) {
            ControlSnapshot snapshot = context.snapshot();
            Optional<Placed> refusal = refuseIfUnfit(snapshot, request);
            if (refusal.isPresent()) {
                return refusal.get();
            }
            GroupView view = snapshot.groups().get(request.group());
            Instant now = context.now();
            ReplicaWait wait = now.isBefore(replicaWaitOver) ? ReplicaWait.ALLOWED : ReplicaWait.EXPIRED;
            ReadPlacementDecision.Read read =
                    new ReadPlacementDecision.Read(request.session(), acceptedAge, request.deadline(), wait);
            switch (ReadPlacementDecision.decide(view, read, expectedWaits.of(request.group()), now)) {
                case ReadPlacement.AtReplica atReplica -> {
                    return new Placed.At(view, atReplica.replica(), true);
                }
                case ReadPlacement.AtPrimary atPrimary -> {
                    Optional<Placed> placed = placeAtPrimary(view, atPrimary.primary(), request, arrivedAt);
                    if (placed.isPresent()) {
                        return placed.get();
                    }
                    awaitChange(request.group(), request.deadline());
                }
                case ReadPlacement.WaitForReplica waiting -> {
                    replicaWaitOver = earlier(replicaWaitOver, waiting.until());
                    awaitChange(request.group(), replicaWaitOver);
                }
                case ReadPlacement.Refuse refuse -> {
                    if (!mayPass(refuse.reason()) || !now.isBefore(request.deadline())) {
                        return Placed.refused(refuse.reason(), refuse.detail());
                    }
                    awaitChange(request.group(), request.deadline());
                }
            }
        }
    }

    private Optional<Placed> refuseIfUnfit(ControlSnapshot snapshot, GroupRequest request) {
        if (!snapshot.groups().containsKey(request.group())) {
            return Optional.of(Placed.refused(
                    NotRunReason.NOT_COORDINATOR, "this VM neither coordinates nor stands by for the group"));
        }
        if (!snapshot.isViewCurrent(context.now())) {
            return Optional.of(
                    Placed.refused(NotRunReason.VIEW_TOO_OLD, "the coordinator can't prove that its view is current"));
        }
        return Optional.empty();
    }

    /** Returns empty while a token that seems to be ahead of the primary may still be explained by an old report. */
    private Optional<Placed> placeAtPrimary(
            GroupView view, BackendServerName primary, GroupRequest request, Instant arrivedAt) {
        Placed placed = new Placed.At(view, primary, false);
        long needed = neededPosition(view, request);
        Optional<BackendStatus> report = Optional.ofNullable(view.statuses().get(primary))
                .filter(status -> status.replicatingTerm().equals(view.term()));
        long reported = report.map(BackendStatus::position).orElse(0L);
        if (needed <= Math.max(reported, seen.highest(request.group(), view.term()))) {
            return Optional.of(placed);
        }
        // Everything that the session has seen was in the log before the request arrived, so that a later report shows
        // it.
        boolean proven = report.map(status -> !status.requestSentAt().isBefore(arrivedAt))
                .orElse(false);
        if (proven) {
            return Optional.of(
                    Placed.refused(NotRunReason.IMPOSSIBLE_TOKEN, "the token is ahead of the log of the primary"));
        }
        return context.now().isBefore(request.deadline())
                ? Optional.empty()
                : Optional.of(Placed.refused(
                        NotRunReason.DEADLINE_UNREACHABLE, "the primary gave no report before the deadline"));
    }

    private static long neededPosition(GroupView view, GroupRequest request) {
        LogPosition unlimited = new LogPosition(view.term(), Long.MAX_VALUE);
        return switch (RequirementCheck.check(request.session(), view.termStarts(), unlimited)) {
            case RequirementCheckResult.Satisfied satisfied -> satisfied.minimumPosition();
            case RequirementCheckResult.WriteLost _, RequirementCheckResult.AheadOfGroup _ -> Long.MAX_VALUE;
        };
    }

    private void awaitChange(GroupName group, Instant until) {
        durability
                .awaitChange(group, earlier(until, context.now().plus(LONGEST_WAIT)))
                .join();
    }

    /** A promotion ends these states, so that waiting for it is better than refusing. */
    private static boolean mayPass(NotRunReason reason) {
        return reason == NotRunReason.NO_PRIMARY || reason == NotRunReason.NO_REPLICA_WITHIN_AGE;
    }

    private static Instant earlier(Instant first, Instant second) {
        return first.isBefore(second) ? first : second;
    }
}
