package org.geraniumproxy.proxy.traffic;

import java.time.Duration;
import java.util.Map;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;

/** Tells how long a request would wait for a slot. */
@FunctionalInterface
public interface ExpectedWaits {
    /**
     * Returns the expected waits of a group.
     *
     * @param group the group
     * @return the expected wait at each database; an absent one means none
     */
    Map<BackendServerName, Duration> of(GroupName group);
}
