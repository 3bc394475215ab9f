package org.geraniumproxy.engine.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumproxy.core.balance.LoadReport;
import org.geraniumproxy.core.balance.LoadReports;
import org.geraniumproxy.core.caller.PositionAnswer;
import org.geraniumproxy.core.caller.PositionPolling;
import org.geraniumproxy.core.caller.PositionRequest;
import org.geraniumproxy.core.caller.PositionSource;
import org.geraniumproxy.core.caller.PrimaryPositionHistory;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.limit.RateOwnership;

/**
 * Asks the watchers of this VM's region for the positions of primaries that this VM doesn't probe, and answers such
 * requests. Used on the traffic thread.
 */
final class PositionPoller {
    /** Age from which a position is not told; a read at a replica needs a younger one. */
    private static final Duration MAXIMUM_TOLD_AGE = Duration.ofSeconds(2);

    private final TrafficEngine engine;
    private final PeerSender sender;
    private final LoadBalancer balancer;
    private List<PositionPolling> pollings = List.of();
    private long lastRequestId;

    PositionPoller(TrafficEngine engine, PeerSender sender, LoadBalancer balancer) {
        this.engine = engine;
        this.sender = sender;
        this.balancer = balancer;
    }

    /** Applies new sources and keeps the state of those that remain. */
    void update(List<PositionSource> sources) {
        List<PositionPolling> next = new ArrayList<>();
        for (PositionSource source : sources) {
            next.add(pollings.stream()
                    .filter(polling -> polling.source().equals(source))
                    .findFirst()
                    .orElseGet(() -> PositionPolling.initial(source, engine.now())));
        }
        pollings = next;
    }

    /** Sends the requests that are due. */
    void onTick(RateOwnership members) {
        pollings = pollings.stream().map(polling -> poll(polling, members)).toList();
    }

    private PositionPolling poll(PositionPolling polling, RateOwnership members) {
        lastRequestId++;
        PositionPolling next = polling.poll(lastRequestId, engine.now());
        next.pending().filter(pending -> pending.requestId() == lastRequestId).ifPresent(pending -> {
            String address = members.addresses().get(pending.vm());
            if (address != null) {
                Map<BackendServerName, LoadReport> loads =
                        balancer.ownLoads(polling.source().groups(), engine.view());
                sender.send(new PositionRequest(members.self(), lastRequestId, loads), pending.vm(), address);
            }
        });
        return next;
    }

    /** Returns the samples of an answer, empty if it is not awaited. */
    Map<GroupName, PrimaryPositionHistory.Sample> apply(PositionAnswer answer) {
        Map<GroupName, PrimaryPositionHistory.Sample> samples = new HashMap<>();
        pollings.forEach(polling -> {
            samples.putAll(polling.samples(answer));
            polling.askedAt(answer).ifPresent(askedAt -> balancer.apply(answer.loads(), askedAt));
        });
        pollings = pollings.stream().map(polling -> polling.answered(answer)).toList();
        return samples;
    }

    /** Forgets the pending requests, whose times are not valid after a clock jump. */
    void onClockJump() {
        pollings = pollings.stream().map(PositionPolling::withoutPending).toList();
    }

    /** Answers the request of another VM with the positions of the watched groups. */
    void answer(PositionRequest request, Map<GroupName, PrimaryPositionHistory.Sample> watched, RateOwnership members) {
        String address = members.addresses().get(request.requester());
        if (address == null) {
            engine.log("-", "position request ignored", "vm=" + request.requester() + " reason=\"not a known VM\"");
            return;
        }
        Map<GroupName, PositionAnswer.AgedPosition> positions = new HashMap<>();
        watched.forEach((group, sample) -> {
            Duration age = Duration.between(sample.coversCommitsBefore(), engine.now());
            if (age.compareTo(MAXIMUM_TOLD_AGE) < 0) {
                positions.put(group, new PositionAnswer.AgedPosition(sample.position(), age));
            }
        });
        LoadReports.Sums loads = balancer.exchange(request.requester(), request.loads(), members.self());
        sender.send(new PositionAnswer(request.requestId(), positions, loads), request.requester(), address);
    }
}
