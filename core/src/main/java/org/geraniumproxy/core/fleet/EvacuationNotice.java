package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.util.Map;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.StoreRevision;

/**
 * The evacuated failure domains as one VM knows them.
 *
 * @param revision store revision at which the set was valid
 * @param ages time for which the sender has known of each evacuation, zero if it doesn't know the time
 */
public record EvacuationNotice(StoreRevision revision, Map<FailureDomain, Duration> ages) {
    /** Copies the map. */
    public EvacuationNotice {
        ages = Map.copyOf(ages);
    }
}
