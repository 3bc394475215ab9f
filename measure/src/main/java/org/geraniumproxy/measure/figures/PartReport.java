package org.geraniumproxy.measure.figures;

import java.util.List;

/**
 * Report of one part of a measurement.
 *
 * @param part name of the part
 * @param policies figures of the policies, the proxy's own first
 * @param findings broken invariants and missed targets with their causes
 */
public record PartReport(String part, List<PolicyMetrics> policies, List<String> findings) {
    /** Copies the lists. */
    public PartReport {
        policies = List.copyOf(policies);
        findings = List.copyOf(findings);
    }
}
