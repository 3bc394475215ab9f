package org.geraniumproxy.measure.figures;

import java.util.List;

/**
 * Results of one part of a measurement, as written to the report.
 *
 * @param part name of the part
 * @param policies results of each policy, the policy of the proxy first
 * @param findings violated invariants and missed targets, one message each; empty if there are none
 */
public record PartReport(String part, List<PolicyMetrics> policies, List<String> findings) {
    /** Copies the lists. */
    public PartReport {
        policies = List.copyOf(policies);
        findings = List.copyOf(findings);
    }
}
