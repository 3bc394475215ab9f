package org.geraniumproxy.proxy.control;

import org.geraniumproxy.core.control.ControlSnapshot;

/** Gives traffic threads the newest snapshot of the control state. */
@FunctionalInterface
public interface SnapshotSource {
    /**
     * Returns the newest snapshot.
     *
     * @return the snapshot
     */
    ControlSnapshot snapshot();
}
