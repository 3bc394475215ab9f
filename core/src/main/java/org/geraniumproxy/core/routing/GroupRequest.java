package org.geraniumproxy.core.routing;

import java.time.Duration;
import java.time.Instant;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.session.SessionRequirement;

/**
 * Admitted request on its way to the coordinator of its group. It names the customer and never contains an API key.
 *
 * @param requestNumber number that the caller gave the request
 * @param customer customer on whose behalf the request runs
 * @param group group that stores the requested data
 * @param statement text of the statement, at most {@link #MAXIMUM_STATEMENT_BYTES} in UTF-8
 * @param access whether the request reads or writes
 * @param repeatable whether the request may safely run more than once
 * @param acceptedAge maximum age of the data that a read accepts; zero requires a read at the primary
 * @param deadline time on this VM's clock at which the caller stops waiting
 * @param session positions that the session has written and read in the group
 */
public record GroupRequest(
        long requestNumber,
        CustomerName customer,
        GroupName group,
        String statement,
        Access access,
        boolean repeatable,
        Duration acceptedAge,
        Instant deadline,
        SessionRequirement session) {
    /** Maximum size of a statement in bytes of UTF-8. */
    public static final int MAXIMUM_STATEMENT_BYTES = 64 * 1024;
}
