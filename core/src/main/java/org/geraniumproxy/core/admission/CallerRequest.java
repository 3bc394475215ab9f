package org.geraniumproxy.core.admission;

import java.time.Duration;
import java.util.Optional;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.routing.Access;

/**
 * A request as a caller sent it, before any check. It holds the digest of the caller's key and never the key.
 *
 * @param requestNumber the caller's number of the request
 * @param key digest of the caller's key, or empty if the caller presented none
 * @param sessionToken text of the session token, empty for a new session
 * @param route name of the route
 * @param statementKey selects the group among those of the route
 * @param statement the statement text, empty for the beginning of a transaction
 * @param timeLeft time that the caller still waits
 * @param access whether it reads or writes, or empty if the caller did not say
 * @param repeatable whether it may run more than once
 * @param acceptedAge greatest age of the data that a read accepts
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
        Duration acceptedAge) {}
