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
 * @param received statements in order of arrival
 * @param mostConnections most connections at once
 * @param mostSlots most statements at once
 */
public record DatabaseHistory(
        String group,
        String backendServer,
        boolean currentPrimary,
        List<String> appliedWrites,
        List<ReceivedStatement> received,
        int mostConnections,
        int mostSlots) {
    /** Copies the lists. */
    public DatabaseHistory {
        appliedWrites = List.copyOf(appliedWrites);
        received = List.copyOf(received);
    }
}
