package org.geraniumproxy.measure.load;

import java.time.Duration;

/**
 * How a request is made.
 *
 * @param route the route
 * @param statementKey selects the group among those of the route
 * @param acceptedAge greatest age of the data, zero for the newest that the session needs
 * @param callTimeout time for one call
 * @param requestTimeout time for all calls of the request together
 */
public record RequestOptions(
        String route, String statementKey, Duration acceptedAge, Duration callTimeout, Duration requestTimeout) {
    /** Time for one call when none is given: long against a call and short against a failover of 12 s. */
    public static final Duration DEFAULT_CALL_TIMEOUT = Duration.ofSeconds(2);

    /** Time for all calls when none is given: the longest failover that the targets allow, and a margin. */
    public static final Duration DEFAULT_REQUEST_TIMEOUT = Duration.ofSeconds(15);

    /**
     * Returns options for the newest data with the default times.
     *
     * @param route the route
     * @param statementKey selects the group
     * @return the options
     */
    public static RequestOptions of(String route, String statementKey) {
        return new RequestOptions(route, statementKey, Duration.ZERO, DEFAULT_CALL_TIMEOUT, DEFAULT_REQUEST_TIMEOUT);
    }

    /**
     * Returns these options with a greatest accepted age.
     *
     * @param age the age
     * @return the options
     */
    public RequestOptions withAcceptedAge(Duration age) {
        return new RequestOptions(route, statementKey, age, callTimeout, requestTimeout);
    }

    /**
     * Returns these options with other times.
     *
     * @param perCall time for one call
     * @param total time for all calls
     * @return the options
     */
    public RequestOptions withTimeouts(Duration perCall, Duration total) {
        return new RequestOptions(route, statementKey, acceptedAge, perCall, total);
    }
}
