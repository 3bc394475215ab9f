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
 * One group with its primary in the coordinator's region and two replicas in the other regions. A hundred sessions read
 * with an accepted age of two seconds, and a quarter of them also write, once for every four reads. Replicas apply the
 * log with a lag; the coordinator learns their positions from long polls that end when a replica reaches the next
 * position. The real placement decides on simulated time.
 */
final class ReadRun {
    /** Accepted age of the reads: that of the example routes. */
    private static final Duration ACCEPTED_AGE = Duration.ofSeconds(2);

    private static final Duration LENGTH = Duration.ofMinutes(1);
    private static final Duration LONGEST_POLL = Duration.ofMillis(100);
    private static final Duration POLL_STEP = Duration.ofMillis(1);
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
    private final Duration lag;
    private final Random random;
    private final SimulatedScheduler time = new SimulatedScheduler();
    private final List<Instant> commits = new ArrayList<>();
    private final Map<Integer, LogPosition> lastWrites = new HashMap<>();
    private final Map<Integer, LogPosition> lastReads = new HashMap<>();
    private final Map<BackendServerName, BackendStatus> statuses = new HashMap<>();
    private final List<PositionSample> samples = new ArrayList<>();
    private final List<WaitingRead> waiting = new ArrayList<>();
    private long reads;
    private long servedByReplica;
    private long writersReads;
    private long writersServedByReplica;
    private long repeated;
    private long stale;
    private long waited;

    private record WaitingRead(int session, Read read) {}

    private ReadRun(SimulatedDeployment deployment, ReadPolicy policy, Duration lag, long seed) {
        this.deployment = deployment;
        this.policy = policy;
        this.lag = lag;
        this.random = new Random(seed);
    }

    static ReadResult run(SimulatedDeployment deployment, ReadPolicy policy, Duration lag, long seed) {
        return new ReadRun(deployment, policy, lag, seed).run();
    }

    private ReadResult run() {
        poll(PRIMARY);
        REPLICAS.forEach(this::poll);
        time.scheduleAfter(LONGEST_POLL, this::write);
        time.scheduleAfter(LONGEST_POLL, this::read);
        time.runUntil(SimulatedScheduler.START.plus(LENGTH));
        return new ReadResult(reads, servedByReplica, writersReads, writersServedByReplica, repeated, stale, waited);
    }

    private void write() {
        time.scheduleAfter(exponential(WRITES_PER_SECOND), this::write);
        commits.add(time.now());
        lastWrites.put(random.nextInt(WRITING_SESSIONS), new LogPosition(TERM, commits.size()));
    }

    /** Asks a database for its position; the reply leaves when the next position is reached or the poll ends. */
    private void poll(BackendServerName name) {
        Instant sentAt = time.now();
        long awaited = statuses.containsKey(name) ? statuses.get(name).position() + 1 : 0;
        time.scheduleAfter(
                trip(name), () -> answerPoll(name, awaited, sentAt, time.now().plus(LONGEST_POLL)));
    }

    private void answerPoll(BackendServerName name, long awaited, Instant sentAt, Instant end) {
        long position = position(name);
        if (position < awaited && time.now().isBefore(end)) {
            time.scheduleAfter(POLL_STEP, () -> answerPoll(name, awaited, sentAt, end));
            return;
        }
        time.scheduleAfter(trip(name), () -> {
            statuses.put(name, status(name, position, sentAt));
            if (name.equals(PRIMARY)) {
                samples.add(new PositionSample(sentAt, position));
                samples.removeIf(sample -> sample.requestSentAt().isBefore(sentAt.minus(SAMPLE_HISTORY)));
            }
            decideAgain();
            poll(name);
        });
    }

    private Duration trip(BackendServerName name) {
        return name.equals(PRIMARY) ? deployment.latencyInRegion() : deployment.latencyBetweenRegions();
    }

    private long position(BackendServerName name) {
        return name.equals(PRIMARY) ? commits.size() : applied(time.now());
    }

    private void read() {
        time.scheduleAfter(exponential(READS_PER_SECOND), this::read);
        int session = random.nextInt(SESSIONS);
        SessionRequirement requirement = new SessionRequirement(
                lastWrites.getOrDefault(session, LogPosition.START),
                lastReads.getOrDefault(session, LogPosition.START));
        reads++;
        writersReads += session < WRITING_SESSIONS ? 1 : 0;
        Instant deadline = time.now().plusSeconds(1);
        Read read = new Read(requirement, ACCEPTED_AGE, deadline, ReplicaWait.ALLOWED);
        switch (policy) {
            case ReadPolicy.Placement _ -> place(session, read);
            case ReadPolicy.AllAtPrimary _ -> atPrimary(session, read);
            case ReadPolicy.RandomReplica _ -> atReplica(session, read, REPLICAS.get(random.nextInt(REPLICAS.size())));
        }
    }

    private void place(int session, Read read) {
        Map<BackendServerName, Duration> waits = Map.of(PRIMARY, PRIMARY_WAIT);
        switch (ReadPlacementDecision.decide(view(), read, waits, time.now())) {
            case ReadPlacement.AtReplica at -> atReplica(session, read, at.replica());
            case ReadPlacement.AtPrimary _ -> atPrimary(session, read);
            case ReadPlacement.WaitForReplica wait -> {
                waited++;
                WaitingRead added = new WaitingRead(session, read);
                waiting.add(added);
                time.scheduleAfter(Duration.between(time.now(), wait.until()), () -> endWait(added));
            }
            case ReadPlacement.Refuse _ -> {}
        }
    }

    private void endWait(WaitingRead read) {
        if (waiting.remove(read)) {
            Read over = new Read(
                    read.read().requirement(),
                    read.read().acceptedAge(),
                    read.read().deadline(),
                    ReplicaWait.EXPIRED);
            place(read.session(), over);
        }
    }

    /** Reads that wait are placed as soon as a report shows a replica that holds what they need. */
    private void decideAgain() {
        for (WaitingRead read : List.copyOf(waiting)) {
            Map<BackendServerName, Duration> waits = Map.of(PRIMARY, PRIMARY_WAIT);
            if (ReadPlacementDecision.decide(view(), read.read(), waits, time.now())
                    instanceof ReadPlacement.AtReplica at) {
                waiting.remove(read);
                atReplica(read.session(), read.read(), at.replica());
            }
        }
    }

    private void atReplica(int session, Read read, BackendServerName replica) {
        time.scheduleAfter(trip(replica), () -> {
            LogPosition reply = new LogPosition(TERM, applied(time.now()));
            time.scheduleAfter(trip(replica), () -> checkReply(session, read, reply));
        });
    }

    private void checkReply(int session, Read read, LogPosition reply) {
        if (ReadPlacementDecision.acceptsReply(view(), read, reply, time.now())) {
            servedByReplica++;
            writersServedByReplica += session < WRITING_SESSIONS ? 1 : 0;
            answer(session, read, reply);
        } else {
            repeated++;
            atPrimary(session, read);
        }
    }

    private void atPrimary(int session, Read read) {
        time.scheduleAfter(trip(PRIMARY).multipliedBy(2), () -> answer(session, read, new LogPosition(TERM, commits.size())));
    }

    private void answer(int session, Read read, LogPosition position) {
        boolean missesWrite =
                position.position() < read.requirement().lastWrite().position();
        Instant oldestAllowed = time.now().minus(ACCEPTED_AGE);
        boolean tooOld = position.position() < commits.size()
                && commits.get((int) position.position()).isBefore(oldestAllowed);
        stale += missesWrite || tooOld ? 1 : 0;
        lastReads.merge(session, position, (known, added) -> known.position() >= added.position() ? known : added);
    }

    /** Entries that a replica has applied: those that are older than the lag. */
    private long applied(Instant now) {
        Instant newest = now.minus(lag);
        int position = commits.size();
        while (position > 0 && commits.get(position - 1).isAfter(newest)) {
            position--;
        }
        return position;
    }

    private GroupView view() {
        return new GroupView(
                GroupName.of("group"), TERM, Optional.of(PRIMARY), statuses, samples, List.of(new TermStart(TERM, 0)));
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

    private Duration exponential(double perSecond) {
        double seconds = -Math.log(1 - random.nextDouble()) / perSecond;
        return Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND));
    }
}
