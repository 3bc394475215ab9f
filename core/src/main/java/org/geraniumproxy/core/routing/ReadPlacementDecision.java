package org.geraniumproxy.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.failover.BackendStatus;
import org.geraniumproxy.core.failover.GroupView;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.session.RequirementCheck;
import org.geraniumproxy.core.session.RequirementCheckResult;
import org.geraniumproxy.core.session.SessionRequirement;

/**
 * Decides whether a read runs at a replica or at the primary. A read with an accepted age of zero never runs at a
 * replica.
 */
public final class ReadPlacementDecision {
    /** Maximum wait for a replica. A longer delay for the caller costs more than using a slot of the primary. */
    public static final Duration MAXIMUM_REPLICA_WAIT = Duration.ofMillis(50);

    /**
     * Maximum age of a replica's status report. A replica that has not reported for longer probably would not answer
     * the read either.
     */
    private static final Duration MAXIMUM_REPORT_AGE = Duration.ofMillis(500);

    private ReadPlacementDecision() {}

    /** Whether a read may still wait for a replica. */
    public enum ReplicaWait {
        /** The read has not waited yet. */
        ALLOWED,
        /** The read has already waited for the maximum time. */
        EXPIRED
    }

    /**
     * Requirements of a read.
     *
     * @param requirement positions that the session has written and read in the group
     * @param acceptedAge maximum age of the data that the read accepts
     * @param deadline time at which the caller stops waiting
     * @param replicaWait whether the read may still wait for a replica
     */
    public record Read(
            SessionRequirement requirement, Duration acceptedAge, Instant deadline, ReplicaWait replicaWait) {}

    /**
     * Decides where a read runs.
     *
     * @param view the current view of the group
     * @param read the requirements of the read
     * @param expectedWaits expected wait for a slot at each database, zero where absent
     * @param now the current time
     * @return the placement
     */
    public static ReadPlacement decide(
            GroupView view, Read read, Map<BackendServerName, Duration> expectedWaits, Instant now) {
        Term highestFencedTerm = view.statuses().values().stream()
                .map(BackendStatus::fencedTerm)
                .max(Comparator.naturalOrder())
                .orElse(Term.NONE);
        Term tokenTerm = highestTerm(read.requirement());
        if (tokenTerm.isAfter(view.term()) && !tokenTerm.isAfter(highestFencedTerm)) {
            return new ReadPlacement.Refuse(NotRunReason.NO_PRIMARY, "a promotion of the group is in progress");
        }
        LogPosition unlimited = new LogPosition(view.term(), Long.MAX_VALUE);
        return switch (RequirementCheck.check(read.requirement(), view.termStarts(), unlimited)) {
            case RequirementCheckResult.WriteLost lost ->
                new ReadPlacement.Refuse(
                        NotRunReason.WRITE_LOST, "the write at " + lost.lastWrite() + " was lost in a failover");
            case RequirementCheckResult.AheadOfGroup impossible ->
                new ReadPlacement.Refuse(
                        NotRunReason.IMPOSSIBLE_TOKEN,
                        "the token is ahead of term " + view.term().number());
            case RequirementCheckResult.Satisfied satisfied ->
                place(view, read, satisfied.minimumPosition(), expectedWaits, now);
        };
    }

    /**
     * Checks the reply of a replica. Since the decision the replica may have truncated its log, or its data may have
     * become too old.
     *
     * @param view the current view of the group
     * @param read the requirements of the read
     * @param reply term and position stated in the reply
     * @param now the current time
     * @return true if the reply may be returned to the caller
     */
    public static boolean acceptsReply(GroupView view, Read read, LogPosition reply, Instant now) {
        if (!reply.term().equals(view.term())) {
            return false;
        }
        RequirementCheckResult verdict = RequirementCheck.check(read.requirement(), view.termStarts(), reply);
        return verdict instanceof RequirementCheckResult.Satisfied
                && isWithinAge(view, reply.position(), read.acceptedAge(), now);
    }

    private static ReadPlacement place(
            GroupView view, Read read, long position, Map<BackendServerName, Duration> expectedWaits, Instant now) {
        // A replica with a measured age of zero may still lack a write committed within the resolution of the clock.
        List<BackendStatus> replicas = read.acceptedAge().isZero() ? List.of() : replicas(view, now);
        Optional<BackendStatus> eligible = replicas.stream()
                .filter(replica -> replica.position() >= position)
                .filter(replica -> isWithinAge(view, replica.position(), read.acceptedAge(), now))
                .min(byExpectedWait(expectedWaits));
        if (eligible.isPresent()) {
            return new ReadPlacement.AtReplica(eligible.get().backendServer());
        }
        return waitForReplica(view, read, position, replicas, expectedWaits, now)
                .or(() -> view.primary().map(ReadPlacement.AtPrimary::new))
                .orElseGet(() -> refusal(read));
    }

    /**
     * Returns a wait only if a replica is expected to catch up before the primary has a free slot, or if there is no
     * primary.
     */
    private static Optional<ReadPlacement> waitForReplica(
            GroupView view,
            Read read,
            long position,
            List<BackendStatus> replicas,
            Map<BackendServerName, Duration> expectedWaits,
            Instant now) {
        if (read.replicaWait() == ReplicaWait.EXPIRED || read.acceptedAge().isZero()) {
            return Optional.empty();
        }
        Duration primaryWait = view.primary()
                .map(primary -> expectedWaits.getOrDefault(primary, Duration.ZERO))
                .orElse(MAXIMUM_REPLICA_WAIT);
        Instant waitUntil = earlier(now.plus(min(primaryWait, MAXIMUM_REPLICA_WAIT)), read.deadline());
        return replicas.stream()
                .filter(replica -> replica.position() < position)
                .filter(replica -> now.plus(replicationDelay(view, replica)).isBefore(waitUntil))
                .min(Comparator.comparing(replica -> replicationDelay(view, replica)))
                .map(replica -> new ReadPlacement.WaitForReplica(replica.backendServer(), waitUntil));
    }

    private static ReadPlacement refusal(Read read) {
        return read.acceptedAge().isZero()
                ? new ReadPlacement.Refuse(NotRunReason.NO_PRIMARY, "the group has no primary")
                : new ReadPlacement.Refuse(
                        NotRunReason.NO_REPLICA_WITHIN_AGE,
                        "no replica is proven to be within "
                                + read.acceptedAge().toMillis() + " ms");
    }

    private static List<BackendStatus> replicas(GroupView view, Instant now) {
        return view.statuses().values().stream()
                .filter(status -> !status.primary() && !status.leaving())
                .filter(status -> status.replicatingTerm().equals(view.term()))
                .filter(status -> !status.fencedTerm().isAfter(view.term()))
                .filter(status -> !now.isAfter(status.requestSentAt().plus(MAXIMUM_REPORT_AGE)))
                .toList();
    }

    /** Returns how far the replica lagged behind the primary at its last report. */
    private static Duration replicationDelay(GroupView view, BackendStatus replica) {
        return ReplicaAge.provenAt(view.samples(), replica.position())
                .map(provenAt -> Duration.between(provenAt, replica.requestSentAt()))
                .filter(delay -> !delay.isNegative())
                .orElse(Duration.ZERO);
    }

    private static boolean isWithinAge(GroupView view, long position, Duration acceptedAge, Instant now) {
        return ReplicaAge.upperBound(view.samples(), position, now)
                .map(age -> age.compareTo(acceptedAge) <= 0)
                .orElse(false);
    }

    private static Comparator<BackendStatus> byExpectedWait(Map<BackendServerName, Duration> expectedWaits) {
        return Comparator.comparing(
                        (BackendStatus status) -> expectedWaits.getOrDefault(status.backendServer(), Duration.ZERO))
                .thenComparing(Comparator.comparingLong(BackendStatus::position).reversed())
                .thenComparing(BackendStatus::backendServer);
    }

    private static Term highestTerm(SessionRequirement requirement) {
        Term write = requirement.lastWrite().term();
        Term read = requirement.lastRead().term();
        return write.isAfter(read) ? write : read;
    }

    private static Duration min(Duration first, Duration second) {
        return first.compareTo(second) <= 0 ? first : second;
    }

    private static Instant earlier(Instant first, Instant second) {
        return first.isBefore(second) ? first : second;
    }
}
