package org.geraniumproxy.measure.load;

import java.time.Duration;

/**
 * Route, consistency and timeouts of a request.
 *
 * @param route name of the route
 * @param statementKey key that selects one of the groups of the route
 * @param acceptedAge maximum age of the data, zero for data as recent as the session requires
 * @param callTimeout timeout of one call
 * @param requestTimeout timeout of the request with all its retries
 */
public record RequestOptions(
        String route, String statementKey, Duration acceptedAge, Duration callTimeout, Duration requestTimeout) {
    /** Much longer than a usual call and much shorter than a failover of 12 s. */
    public static final Duration DEFAULT_CALL_TIMEOUT = Duration.ofSeconds(2);

    /** Maximum failover duration that the targets allow, plus a margin. */
    public static final Duration DEFAULT_REQUEST_TIMEOUT = Duration.ofSeconds(15);

    /**
     * Returns options with the default timeouts and an accepted age of zero.
     *
     * @param route name of the route
     * @param statementKey key that selects one of the groups of the route
     * @return the options
     */
    public static RequestOptions of(String route, String statementKey) {
        return new RequestOptions(route, statementKey, Duration.ZERO, DEFAULT_CALL_TIMEOUT, DEFAULT_REQUEST_TIMEOUT);
    }

    /**
     * Returns a copy with another accepted age.
     *
     * @param age maximum age of the data
     * @return the options
     */
    public RequestOptions withAcceptedAge(Duration age) {
        return new RequestOptions(route, statementKey, age, callTimeout, requestTimeout);
    }

    /**
     * Returns a copy with other timeouts.
     *
     * @param perCall timeout of one call
     * @param total timeout of the request with all its retries
     * @return the options
     */
    public RequestOptions withTimeouts(Duration perCall, Duration total) {
        return new RequestOptions(route, statementKey, acceptedAge, perCall, total);
    }
}
