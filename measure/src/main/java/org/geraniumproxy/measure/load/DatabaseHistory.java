package org.geraniumproxy.measure.load;

import java.util.List;
import org.geraniumproxy.protocol.ReceivedStatement;

/**
 * What a database recorded during a run.
 *
 * @param group its group
 * @param backendServer its name
 * @param currentPrimary whether it is the primary of the highest term of its group at the end
 * @param appliedWrites texts of the writes in its log at the end
 * @param receivedStatements statements in order of arrival
 * @param maximumConnections most connections at once
 * @param maximumSlots most statements at once
 */
public record DatabaseHistory(
        String group,
        String backendServer,
        boolean currentPrimary,
        List<String> appliedWrites,
        List<ReceivedStatement> receivedStatements,
        int maximumConnections,
        int maximumSlots) {
    /** Copies the lists. */
    public DatabaseHistory {
        appliedWrites = List.copyOf(appliedWrites);
        receivedStatements = List.copyOf(receivedStatements);
    }
}
