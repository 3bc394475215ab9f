package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.VmName;

/**
 * Requests for the positions of primaries to one source. If a VM doesn't answer, the next one of the source is asked.
 *
 * @param source VMs to ask
 * @param preferred index of the VM that is asked next
 * @param pending request without an answer
 * @param nextRequestAt time from which the next request is sent
 */
public record PositionPolling(PositionSource source, int preferred, Optional<Pending> pending, Instant nextRequestAt) {
    /**
     * Interval between requests. The age of a sample stays well below 1.5 s, the shortest accepted age of reads at
     * replicas.
     */
    static final Duration INTERVAL = Duration.ofMillis(500);

    /** Time after which a request is given up; several round trips within a region. */
    static final Duration ANSWER_TIMEOUT = Duration.ofMillis(200);

    /**
     * Request that is not answered yet.
     *
     * @param vm VM that was asked
     * @param requestId identifier of the request
     * @param sentAt time at which the request was sent
     */
    public record Pending(VmName vm, long requestId, Instant sentAt) {}

    /**
     * Returns the state before the first request.
     *
     * @param source VMs to ask, at least one
     * @param now current time
     * @return a state in which a request is due
     */
    public static PositionPolling initial(PositionSource source, Instant now) {
        return new PositionPolling(source, 0, Optional.empty(), now);
    }

    /**
     * Sends the next request if it is due.
     *
     * @param requestId identifier for the request
     * @param now current time
     * @return next state; its pending request was sent now if it has the given identifier
     */
    public PositionPolling poll(long requestId, Instant now) {
        boolean overdue =
                pending.isPresent() && !now.isBefore(pending.get().sentAt().plus(ANSWER_TIMEOUT));
        if (!overdue && now.isBefore(nextRequestAt)) {
            return this;
        }
        int next = overdue ? (preferred + 1) % source.vms().size() : preferred;
        Pending request = new Pending(source.vms().get(next), requestId, now);
        return new PositionPolling(source, next, Optional.of(request), now.plus(INTERVAL));
    }

    /**
     * Returns the positions of an answer as samples of this VM, empty unless the answer is awaited.
     *
     * @param answer answer of another VM
     * @return samples of the groups of the source
     */
    public Map<GroupName, PrimaryPositionHistory.Sample> samples(PositionAnswer answer) {
        Map<GroupName, PrimaryPositionHistory.Sample> samples = new HashMap<>();
        if (awaits(answer)) {
            Instant sentAt = pending.get().sentAt();
            answer.positions().forEach((group, aged) -> {
                if (source.groups().contains(group)) {
                    samples.put(group, new PrimaryPositionHistory.Sample(aged.position(), sentAt.minus(aged.age())));
                }
            });
        }
        return samples;
    }

    /**
     * Returns the time at which an answer was asked for.
     *
     * @param answer answer of another VM
     * @return time of the request, empty unless the answer is awaited
     */
    public Optional<Instant> askedAt(PositionAnswer answer) {
        return pending.filter(_ -> awaits(answer)).map(Pending::sentAt);
    }

    /**
     * Ends the pending request if the answer belongs to it.
     *
     * @param answer answer of another VM
     * @return next state
     */
    public PositionPolling answered(PositionAnswer answer) {
        return awaits(answer) ? withoutPending() : this;
    }

    /**
     * Forgets the pending request. Its time of sending is not valid any more after a clock jump.
     *
     * @return next state
     */
    public PositionPolling withoutPending() {
        return new PositionPolling(source, preferred, Optional.empty(), nextRequestAt);
    }

    private boolean awaits(PositionAnswer answer) {
        return pending.isPresent() && pending.get().requestId() == answer.requestId();
    }
}
