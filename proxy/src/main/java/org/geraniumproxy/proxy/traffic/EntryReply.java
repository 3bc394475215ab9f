package org.geraniumproxy.proxy.traffic;

import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.core.session.SessionToken;

/**
 * What a caller gets.
 *
 * @param requestNumber the caller's number of the request
 * @param outcome how the request ended
 * @param sessionToken text of the session token for the next request; empty if the caller's token was not accepted
 * @param servedBy the backend server that answered, or empty if none did
 * @param servedByReplica whether that backend server was a replica
 */
public record EntryReply(
        long requestNumber,
        Outcome outcome,
        String sessionToken,
        Optional<BackendServerName> servedBy,
        boolean servedByReplica) {
    static EntryReply refused(long requestNumber, Outcome outcome, String sessionToken) {
        return new EntryReply(requestNumber, outcome, sessionToken, Optional.empty(), false);
    }

    static EntryReply of(long requestNumber, SessionToken token, GroupName group, GroupResult result) {
        SessionToken after = token.with(group, result.session());
        return new EntryReply(
                requestNumber, result.outcome(), after.encode(), result.servedBy(), result.servedByReplica());
    }
}
