package org.geraniumproxy.measure.load;

import java.util.List;
import org.geraniumproxy.protocol.ReceivedStatement;

/**
 * Writes, statements and maximum usage that a database recorded during a run.
 *
 * @param group name of the group
 * @param backendServer name of the database
 * @param currentPrimary whether the database is the primary of the highest term at the end of the run
 * @param appliedWrites statements of the writes in the log at the end of the run
 * @param receivedStatements statements received, in order of arrival
 * @param maximumConnections maximum number of concurrent connections
 * @param maximumSlots maximum number of concurrent statements
 */
public record DatabaseHistory(
        String group,
        String backendServer,
        boolean currentPrimary,
        List<String> appliedWrites,
        List<ReceivedStatement> receivedStatements,
        int maximumConnections,
        int maximumSlots) {
    /** Makes unmodifiable copies of the lists. */
    public DatabaseHistory {
        appliedWrites = List.copyOf(appliedWrites);
        receivedStatements = List.copyOf(receivedStatements);
    }
}
