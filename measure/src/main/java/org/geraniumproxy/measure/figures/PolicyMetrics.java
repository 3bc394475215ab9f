package org.geraniumproxy.measure.figures;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Figures of one policy.
 *
 * @param policy name of the policy
 * @param baseline whether it is a baseline that the policy of the proxy is compared with
 * @param figures values by name, in the order of the report; names carry the unit
 */
public record PolicyMetrics(String policy, boolean baseline, Map<String, Double> figures) {
    /** Copies the figures and keeps their order. */
    public PolicyMetrics {
        figures = Collections.unmodifiableMap(new LinkedHashMap<>(figures));
    }
}
