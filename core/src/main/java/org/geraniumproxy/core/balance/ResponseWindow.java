package org.geraniumproxy.core.balance;

import java.time.Duration;
import java.time.Instant;

/**
 * Responses of a database to the statements of this VM. The weight of a response halves every {@link #HALF_LIFE}.
 *
 * @param answered weight of the answers
 * @param failed weight of the refusals, errors and missing answers
 * @param serviceNanos sum of the weighted times to the answers, in nanoseconds
 * @param asOf time up to which the weights are reduced
 */
public record ResponseWindow(double answered, double failed, double serviceNanos, Instant asOf) {
    /** A VM of a large fleet sends a database about one statement a second, and needs several to judge it. */
    static final Duration HALF_LIFE = Duration.ofSeconds(5);

    /** Weight below which a sum of answers gives no service time. */
    private static final double MINIMUM_WEIGHT = 0.1;

    static ResponseWindow empty(Instant now) {
        return new ResponseWindow(0, 0, 0, now);
    }

    ResponseWindow withAnswer(Duration serviceTime, Instant now) {
        ResponseWindow aged = at(now);
        return new ResponseWindow(aged.answered + 1, aged.failed, aged.serviceNanos + serviceTime.toNanos(), aged.asOf);
    }

    ResponseWindow withFailure(Instant now) {
        ResponseWindow aged = at(now);
        return new ResponseWindow(aged.answered, aged.failed + 1, aged.serviceNanos, aged.asOf);
    }

    ResponseSummary summary(Instant now) {
        ResponseWindow aged = at(now);
        return aged.answered < MINIMUM_WEIGHT
                ? new ResponseSummary(0, aged.failed, Duration.ZERO)
                : new ResponseSummary(
                        aged.answered, aged.failed, Duration.ofNanos(Math.round(aged.serviceNanos / aged.answered)));
    }

    private ResponseWindow at(Instant now) {
        if (!now.isAfter(asOf)) {
            return this;
        }
        double factor = Decay.factor(Duration.between(asOf, now), HALF_LIFE);
        return new ResponseWindow(answered * factor, failed * factor, serviceNanos * factor, now);
    }
}
