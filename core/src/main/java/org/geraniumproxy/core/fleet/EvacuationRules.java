package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.routing.EvacuationPhase;
import org.geraniumproxy.core.service.AllowedRegions;
import org.geraniumproxy.core.service.ServiceConfiguration;

/**
 * Failure domains of the deployment and the time limit of their evacuation, from the settings.
 *
 * @param regions region of each failure domain; only these can be evacuated
 * @param bound time after the operator's order from which nothing is sent to the failure domain
 */
public record EvacuationRules(Map<FailureDomain, RegionName> regions, Duration bound) {
    /** Settings without failure domains, in which none can be evacuated. */
    public static final EvacuationRules NONE = new EvacuationRules(Map.of(), Duration.ofSeconds(5));

    /**
     * End of the time limit in which primaries get no statement. It is for statements in flight, and for VMs that learn
     * of the order late: a watch whose connection has gone silent ends after up to 1.5 s.
     */
    private static final Duration CLOSED_MARGIN = Duration.ofMillis(1500);

    /**
     * End of the time limit in which connections in use have been closed. The difference of 300 ms to the other margin
     * is several times the duration of a statement.
     */
    private static final Duration ENDED_MARGIN = Duration.ofMillis(1200);

    /**
     * Copies the map and validates the time limit.
     *
     * @throws IllegalArgumentException if the time limit is negative
     */
    public EvacuationRules {
        regions = Map.copyOf(regions);
        if (bound.isNegative()) {
            throw new IllegalArgumentException("the time limit of an evacuation must not be negative");
        }
    }

    /** Returns the phase of an evacuation of which this VM knows since a time. */
    EvacuationPhase phase(Instant since, Instant now) {
        Duration age = Duration.between(since, now);
        if (age.compareTo(bound.minus(CLOSED_MARGIN)) < 0) {
            return EvacuationPhase.REPLACING;
        }
        return age.compareTo(bound.minus(ENDED_MARGIN)) < 0 ? EvacuationPhase.CLOSED : EvacuationPhase.ENDED;
    }

    /** Logs allowed regions that no failure domain has. What allows only such regions runs nowhere. */
    void logUnknownRegions(ServiceConfiguration configuration, List<FleetEffect> effects) {
        configuration
                .routes()
                .values()
                .forEach(route -> logUnknownRegions("route=" + route.name(), route.regionsAllowed(), effects));
        configuration
                .customers()
                .values()
                .forEach(customer ->
                        logUnknownRegions("customer=" + customer.name(), customer.regionsAllowed(), effects));
    }

    private void logUnknownRegions(String owner, AllowedRegions allowed, List<FleetEffect> effects) {
        Set<String> unknown = allowed.unknown(regions.values());
        if (!unknown.isEmpty()) {
            effects.add(new FleetEffect.Log(
                    "unknown region",
                    "key=\"op/config\" " + owner + " regions=" + unknown
                            + " reason=\"no failure domain of the settings is in this region\""));
        }
    }
}
