package org.geraniumproxy.core.admission;

import java.time.Duration;
import java.util.Optional;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.routing.Access;

/**
 * An unchecked request of a caller. It holds the digest of the caller's key, never the key itself.
 *
 * @param requestNumber number that the caller gave the request
 * @param key digest of the caller's key, or empty if the caller sent no key
 * @param sessionToken text of the session token, empty for a new session
 * @param route name of the route
 * @param statementKey key that selects one of the groups of the route
 * @param statement the statement text, empty for the beginning of a transaction
 * @param timeLeft remaining time that the caller waits
 * @param access whether the statement reads or writes, or empty if the caller did not specify it
 * @param repeatable whether the statement may run more than once
 * @param acceptedAge maximum age of the data that a read accepts
 */
public record CallerRequest(
        long requestNumber,
        Optional<KeyDigest> key,
        String sessionToken,
        String route,
        String statementKey,
        String statement,
        Duration timeLeft,
        Optional<Access> access,
        boolean repeatable,
        Duration acceptedAge) {
    /**
     * Returns the same request with another time that the caller still waits.
     *
     * @param remaining the time
     * @return the request
     */
    public CallerRequest withTimeLeft(Duration remaining) {
        return new CallerRequest(
                requestNumber,
                key,
                sessionToken,
                route,
                statementKey,
                statement,
                remaining,
                access,
                repeatable,
                acceptedAge);
    }
}
