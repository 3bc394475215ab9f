package org.geraniumproxy.measure.load;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks that no customer exceeded its rate and burst. */
public final class RateChecks {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Limits the window starts checked per customer, which bounds the work for long runs. */
    private static final int MAXIMUM_WINDOW_STARTS = 1000;

    /** Interval in which a request was admitted. */
    private record Admission(Instant earliest, Instant latest) {}

    private RateChecks() {}

    /**
     * Checks windows from the start of one request to the end of another, with at most 1000 starts per customer. Only
     * requests that certainly lie within the window count, which avoids false positives. Requests with several calls
     * are ignored, because the time of the admitted call is unknown.
     *
     * @param records the records of a run
     * @param allowances rate limits by name of the customer
     * @return one violation with the maximum overrun for each customer that exceeded its limit
     */
    public static List<GuaranteeViolation> check(List<RequestRecord> records, Map<String, Allowance> allowances) {
        Map<String, List<Admission>> admissions = new HashMap<>();
        for (RequestRecord request : records) {
            if (request.isAnswered() && request.calls() == 1) {
                admissions
                        .computeIfAbsent(request.customer(), customer -> new ArrayList<>())
                        .add(new Admission(request.startedAt(), request.endedAt()));
            }
        }
        List<GuaranteeViolation> violations = new ArrayList<>();
        allowances.forEach((customer, allowance) -> {
            double overrun = maximumOverrun(admissions.getOrDefault(customer, List.of()), allowance);
            if (overrun > 0) {
                violations.add(new GuaranteeViolation(
                        Guarantee.RATE_KEPT, customer + " got " + overrun + " requests above its rate and burst"));
            }
        });
        return violations;
    }

    private static double maximumOverrun(List<Admission> admissions, Allowance allowance) {
        List<Admission> sortedByEnd = admissions.stream()
                .sorted(Comparator.comparing(Admission::latest))
                .toList();
        double maximum = 0;
        for (int i = 0; i < sortedByEnd.size(); i += 1 + sortedByEnd.size() / MAXIMUM_WINDOW_STARTS) {
            maximum = Math.max(maximum, overrunFrom(sortedByEnd.get(i).earliest(), sortedByEnd, allowance));
        }
        return maximum;
    }

    private static double overrunFrom(Instant start, List<Admission> sortedByEnd, Allowance allowance) {
        double maximum = 0;
        int count = 0;
        for (Admission admission : sortedByEnd) {
            if (admission.earliest().isBefore(start)) {
                continue;
            }
            count++;
            double seconds = Duration.between(start, admission.latest()).toNanos() / NANOS_PER_SECOND;
            maximum = Math.max(maximum, count - allowance.burst() - allowance.ratePerSecond() * seconds);
        }
        return maximum;
    }
}
