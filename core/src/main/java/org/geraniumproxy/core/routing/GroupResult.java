package org.geraniumproxy.core.routing;

import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.session.SessionRequirement;

/**
 * Coordinator's reply to a {@link GroupRequest}.
 *
 * @param outcome how the request ended
 * @param session positions that the session has written and read in the group, including this request
 * @param servedBy the backend server that answered, empty if none did
 * @param servedByReplica whether that backend server was a replica
 */
public record GroupResult(
        Outcome outcome, SessionRequirement session, Optional<BackendServerName> servedBy, boolean servedByReplica) {
    /**
     * Returns the result of a request that no backend server answered.
     *
     * @param outcome how the request ended
     * @param session positions that the session had written and read before the request
     * @return the result
     */
    public static GroupResult unserved(Outcome outcome, SessionRequirement session) {
        return new GroupResult(outcome, session, Optional.empty(), false);
    }
}
