package org.geraniumproxy.engine.traffic;

import org.geraniumproxy.core.caller.DatabaseObservation;
import org.geraniumproxy.core.identity.GroupName;

/** Records what the sessions observe of the databases. Used on the traffic thread. */
final class ObservationRecorder {
    private final TrafficEngine engine;
    private final LoadBalancer balancer;
    private final TrafficObserver observer;
    private boolean withoutEvidence;

    ObservationRecorder(TrafficEngine engine, LoadBalancer balancer, TrafficObserver observer) {
        this.engine = engine;
        this.balancer = balancer;
        this.observer = observer;
    }

    /** Runs a step in which a statement without an answer is no evidence that its database fails. */
    void runWithoutEvidence(Runnable step) {
        withoutEvidence = true;
        try {
            step.run();
        } finally {
            withoutEvidence = false;
        }
    }

    void record(GroupName group, DatabaseObservation observation) {
        DatabaseConnectionPool connectionPool = engine.connectionPool(observation.database());
        boolean unrelated = withoutEvidence && observation instanceof DatabaseObservation.Unresponsive;
        if (connectionPool == null || unrelated) {
            return;
        }
        balancer.record(group, observation);
        switch (observation) {
            case DatabaseObservation.Answered answered -> {
                engine.metrics().databaseAnswered(answered.latency());
                engine.metrics()
                        .statementPlaced(engine.view()
                                .directoryOf(group)
                                .primary()
                                .map(primary -> primary.name().equals(answered.database()))
                                .orElse(false));
                connectionPool.recordReply(answered.latency(), answered.acknowledgedCommit());
            }
            case DatabaseObservation.Unresponsive unresponsive ->
                connectionPool.recordFailure(unresponsive.commitUnacknowledged());
            case DatabaseObservation.NotPrimary notPrimary -> observer.onNotPrimary(group, notPrimary.database());
            case DatabaseObservation.Lagging _ -> connectionPool.recordLag();
            case DatabaseObservation.Refused _ -> {}
        }
    }
}
