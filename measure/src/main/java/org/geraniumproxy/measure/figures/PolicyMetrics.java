package org.geraniumproxy.measure.figures;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Metrics of one policy.
 *
 * @param policy name of the policy
 * @param baseline true for a baseline, false for the policy of the proxy
 * @param figures values by name, in report order; the names include the unit
 */
public record PolicyMetrics(String policy, boolean baseline, Map<String, Double> figures) {
    /** Makes an unmodifiable copy that keeps the insertion order. */
    public PolicyMetrics {
        figures = Collections.unmodifiableMap(new LinkedHashMap<>(figures));
    }
}
