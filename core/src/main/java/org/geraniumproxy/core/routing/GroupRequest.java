package org.geraniumproxy.core.routing;

import java.time.Duration;
import java.time.Instant;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.session.SessionRequirement;

/**
 * An admitted request on its way to the coordinator of its group. It names the customer and never holds a key.
 *
 * @param requestNumber the caller's number of the request
 * @param customer the customer that the request runs for
 * @param group the group that the request is for
 * @param statement the statement text
 * @param access whether it reads or writes
 * @param repeatable whether it may run more than once
 * @param acceptedAge greatest age of the data that a read accepts, zero for the newest that the session needs
 * @param deadline moment on this VM's clock at which the caller stops waiting
 * @param session what the session has written and read in the group
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
    /** Largest statement that a request may carry, in bytes of UTF-8. */
    public static final int MAXIMUM_STATEMENT_BYTES = 64 * 1024;
}
