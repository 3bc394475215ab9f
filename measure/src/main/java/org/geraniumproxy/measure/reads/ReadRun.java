package org.geraniumproxy.measure.reads;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.geraniumproxy.core.failover.BackendStatus;
import org.geraniumproxy.core.failover.GroupView;
import org.geraniumproxy.core.failover.PositionSample;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;
import org.geraniumproxy.core.routing.ReadPlacement;
import org.geraniumproxy.core.routing.ReadPlacementDecision;
import org.geraniumproxy.core.routing.ReadPlacementDecision.Read;
import org.geraniumproxy.core.routing.ReadPlacementDecision.ReplicaWait;
import org.geraniumproxy.core.session.SessionRequirement;
import org.geraniumproxy.measure.simulation.SimulatedDeployment;
import org.geraniumproxy.measure.simulation.SimulatedScheduler;

/**
 * Simulates reads of one group with its primary in the coordinator's region and replicas in two other regions. A
 * hundred sessions read with an accepted age of two seconds, and a quarter of them also write, once for every four of
 * their reads. Replicas apply the log with a fixed lag, and the coordinator obtains their positions by long polls that
 * return when a replica reaches the next position. The production read placement decides, on simulated time.
 */
final class ReadRun {
    /** Same as in the example routes. */
    private static final Duration ACCEPTED_AGE = Duration.ofSeconds(2);

    private static final Duration DURATION = Duration.ofMinutes(1);
    private static final Duration MAXIMUM_POLL_DURATION = Duration.ofMillis(100);
    private static final Duration POLL_CHECK_INTERVAL = Duration.ofMillis(1);
    private static final Duration SAMPLE_HISTORY = Duration.ofSeconds(5);
    private static final Duration PRIMARY_WAIT = Duration.ofMillis(5);
    private static final double WRITES_PER_SECOND = 25;
    private static final double READS_PER_SECOND = 400;
    private static final int SESSIONS = 100;
    private static final int WRITING_SESSIONS = 25;
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final Term TERM = Term.of(Term.VM_INDEX_COUNT);
    private static final BackendServerName PRIMARY = BackendServerName.of("primary");
    private static final List<BackendServerName> REPLICAS =
            List.of(BackendServerName.of("replica-1"), BackendServerName.of("replica-2"));

    private final SimulatedDeployment deployment;
    private final ReadPolicy policy;
    private final Duration replicationLag;
    private final Random random;
    private final SimulatedScheduler scheduler = new SimulatedScheduler();
    private final List<Instant> commitTimes = new ArrayList<>();
    private final Map<Integer, LogPosition> lastWrites = new HashMap<>();
    private final Map<Integer, LogPosition> lastReads = new HashMap<>();
    private final Map<BackendServerName, BackendStatus> statuses = new HashMap<>();
    private final List<PositionSample> primaryPositionSamples = new ArrayList<>();
    private final List<WaitingRead> waitingReads = new ArrayList<>();
    private long reads;
    private long servedByReplica;
    private long readsOfWritingSessions;
    private long servedByReplicaOfWritingSessions;
    private long repeated;
    private long stale;
    private long waited;

    private record WaitingRead(int session, Read read) {}

    private ReadRun(SimulatedDeployment deployment, ReadPolicy policy, Duration replicationLag, long seed) {
        this.deployment = deployment;
        this.policy = policy;
        this.replicationLag = replicationLag;
        this.random = new Random(seed);
    }

    static ReadResult run(SimulatedDeployment deployment, ReadPolicy policy, Duration replicationLag, long seed) {
        return new ReadRun(deployment, policy, replicationLag, seed).run();
    }

    private ReadResult run() {
        pollPosition(PRIMARY);
        REPLICAS.forEach(this::pollPosition);
        scheduler.scheduleAfter(MAXIMUM_POLL_DURATION, this::write);
        scheduler.scheduleAfter(MAXIMUM_POLL_DURATION, this::read);
        scheduler.runUntil(SimulatedScheduler.START.plus(DURATION));
        return new ReadResult(
                reads,
                servedByReplica,
                readsOfWritingSessions,
                servedByReplicaOfWritingSessions,
                repeated,
                stale,
                waited);
    }

    private void write() {
        scheduler.scheduleAfter(randomExponentialDelay(WRITES_PER_SECOND), this::write);
        commitTimes.add(scheduler.now());
        lastWrites.put(random.nextInt(WRITING_SESSIONS), new LogPosition(TERM, commitTimes.size()));
    }

    /** Requests the position of a database, which replies at the next position or after the maximum poll duration. */
    private void pollPosition(BackendServerName name) {
        Instant sentAt = scheduler.now();
        long awaitedPosition = statuses.containsKey(name) ? statuses.get(name).position() + 1 : 0;
        scheduler.scheduleAfter(
                oneWayLatency(name),
                () -> answerPoll(name, awaitedPosition, sentAt, scheduler.now().plus(MAXIMUM_POLL_DURATION)));
    }

    private void answerPoll(BackendServerName name, long awaitedPosition, Instant sentAt, Instant end) {
        long position = position(name);
        if (position < awaitedPosition && scheduler.now().isBefore(end)) {
            scheduler.scheduleAfter(POLL_CHECK_INTERVAL, () -> answerPoll(name, awaitedPosition, sentAt, end));
            return;
        }
        scheduler.scheduleAfter(oneWayLatency(name), () -> {
            statuses.put(name, status(name, position, sentAt));
            if (name.equals(PRIMARY)) {
                primaryPositionSamples.add(new PositionSample(sentAt, position));
                primaryPositionSamples.removeIf(
                        sample -> sample.requestSentAt().isBefore(sentAt.minus(SAMPLE_HISTORY)));
            }
            placeWaitingReads();
            pollPosition(name);
        });
    }

    private Duration oneWayLatency(BackendServerName name) {
        return name.equals(PRIMARY) ? deployment.latencyInRegion() : deployment.latencyBetweenRegions();
    }

    private long position(BackendServerName name) {
        return name.equals(PRIMARY) ? commitTimes.size() : appliedPosition(scheduler.now());
    }

    private void read() {
        scheduler.scheduleAfter(randomExponentialDelay(READS_PER_SECOND), this::read);
        int session = random.nextInt(SESSIONS);
        SessionRequirement requirement = new SessionRequirement(
                lastWrites.getOrDefault(session, LogPosition.START),
                lastReads.getOrDefault(session, LogPosition.START));
        reads++;
        readsOfWritingSessions += session < WRITING_SESSIONS ? 1 : 0;
        Instant deadline = scheduler.now().plusSeconds(1);
        Read read = new Read(requirement, ACCEPTED_AGE, deadline, ReplicaWait.ALLOWED);
        switch (policy) {
            case ReadPolicy.ProxyPlacement _ -> place(session, read);
            case ReadPolicy.AllAtPrimary _ -> readAtPrimary(session, read);
            case ReadPolicy.RandomReplica _ ->
                readAtReplica(session, read, REPLICAS.get(random.nextInt(REPLICAS.size())));
        }
    }

    private void place(int session, Read read) {
        Map<BackendServerName, Duration> waits = Map.of(PRIMARY, PRIMARY_WAIT);
        switch (ReadPlacementDecision.decide(view(), read, waits, scheduler.now())) {
            case ReadPlacement.AtReplica at -> readAtReplica(session, read, at.replica());
            case ReadPlacement.AtPrimary _ -> readAtPrimary(session, read);
            case ReadPlacement.WaitForReplica wait -> {
                waited++;
                WaitingRead added = new WaitingRead(session, read);
                waitingReads.add(added);
                scheduler.scheduleAfter(Duration.between(scheduler.now(), wait.until()), () -> endWait(added));
            }
            case ReadPlacement.Refuse _ -> {}
        }
    }

    private void endWait(WaitingRead read) {
        if (waitingReads.remove(read)) {
            Read expired = new Read(
                    read.read().requirement(),
                    read.read().acceptedAge(),
                    read.read().deadline(),
                    ReplicaWait.EXPIRED);
            place(read.session(), expired);
        }
    }

    /** Places waiting reads for which a replica has reached the required position. */
    private void placeWaitingReads() {
        for (WaitingRead read : List.copyOf(waitingReads)) {
            Map<BackendServerName, Duration> waits = Map.of(PRIMARY, PRIMARY_WAIT);
            if (ReadPlacementDecision.decide(view(), read.read(), waits, scheduler.now())
                    instanceof ReadPlacement.AtReplica at) {
                waitingReads.remove(read);
                readAtReplica(read.session(), read.read(), at.replica());
            }
        }
    }

    private void readAtReplica(int session, Read read, BackendServerName replica) {
        scheduler.scheduleAfter(oneWayLatency(replica), () -> {
            LogPosition reply = new LogPosition(TERM, appliedPosition(scheduler.now()));
            scheduler.scheduleAfter(oneWayLatency(replica), () -> checkReply(session, read, reply));
        });
    }

    private void checkReply(int session, Read read, LogPosition reply) {
        if (ReadPlacementDecision.acceptsReply(view(), read, reply, scheduler.now())) {
            servedByReplica++;
            servedByReplicaOfWritingSessions += session < WRITING_SESSIONS ? 1 : 0;
            recordAnswer(session, read, reply);
        } else {
            repeated++;
            readAtPrimary(session, read);
        }
    }

    private void readAtPrimary(int session, Read read) {
        scheduler.scheduleAfter(
                oneWayLatency(PRIMARY).multipliedBy(2),
                () -> recordAnswer(session, read, new LogPosition(TERM, commitTimes.size())));
    }

    private void recordAnswer(int session, Read read, LogPosition position) {
        boolean missesWrite =
                position.position() < read.requirement().lastWrite().position();
        Instant oldestAllowed = scheduler.now().minus(ACCEPTED_AGE);
        boolean tooOld = position.position() < commitTimes.size()
                && commitTimes.get((int) position.position()).isBefore(oldestAllowed);
        stale += missesWrite || tooOld ? 1 : 0;
        lastReads.merge(session, position, (known, added) -> known.position() >= added.position() ? known : added);
    }

    /** Returns the number of entries that a replica has applied, which are those older than the replication lag. */
    private long appliedPosition(Instant now) {
        Instant newest = now.minus(replicationLag);
        int position = commitTimes.size();
        while (position > 0 && commitTimes.get(position - 1).isAfter(newest)) {
            position--;
        }
        return position;
    }

    private GroupView view() {
        return new GroupView(
                GroupName.of("group"),
                TERM,
                Optional.of(PRIMARY),
                statuses,
                primaryPositionSamples,
                List.of(new TermStart(TERM, 0)));
    }

    private BackendStatus status(BackendServerName name, long position, Instant sentAt) {
        boolean primary = name.equals(PRIMARY);
        return new BackendStatus(
                name,
                sentAt,
                TERM,
                TERM,
                TERM,
                position,
                primary,
                Duration.ZERO,
                0,
                false,
                List.of(new TermStart(TERM, 0)));
    }

    private Duration randomExponentialDelay(double perSecond) {
        double seconds = -Math.log(1 - random.nextDouble()) / perSecond;
        return Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND));
    }
}
