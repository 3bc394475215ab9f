package org.geraniumproxy.measure.load;

import java.time.Duration;

/**
 * How a request is made.
 *
 * @param route the route
 * @param statementKey selects the group among those of the route
 * @param acceptedAge greatest age of the data, zero for the newest that the session needs
 * @param callDeadline time for one call
 * @param patience time for all calls of the request together
 */
public record RequestOptions(
        String route, String statementKey, Duration acceptedAge, Duration callDeadline, Duration patience) {
    /** Time for one call when none is given: long against a call and short against a failover of 12 s. */
    public static final Duration DEFAULT_CALL_DEADLINE = Duration.ofSeconds(2);

    /** Time for all calls when none is given: the longest failover that the targets allow, and a margin. */
    public static final Duration DEFAULT_PATIENCE = Duration.ofSeconds(15);

    /**
     * Returns options for the newest data with the default times.
     *
     * @param route the route
     * @param statementKey selects the group
     * @return the options
     */
    public static RequestOptions of(String route, String statementKey) {
        return new RequestOptions(route, statementKey, Duration.ZERO, DEFAULT_CALL_DEADLINE, DEFAULT_PATIENCE);
    }

    /**
     * Returns these options with a greatest accepted age.
     *
     * @param age the age
     * @return the options
     */
    public RequestOptions acceptingAge(Duration age) {
        return new RequestOptions(route, statementKey, age, callDeadline, patience);
    }

    /**
     * Returns these options with other times.
     *
     * @param call time for one call
     * @param all time for all calls
     * @return the options
     */
    public RequestOptions within(Duration call, Duration all) {
        return new RequestOptions(route, statementKey, acceptedAge, call, all);
    }
}
