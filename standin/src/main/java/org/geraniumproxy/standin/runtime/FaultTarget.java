package org.geraniumproxy.standin.runtime;

import org.geraniumproxy.protocol.HistoryReply;

/** A stand-in that faults can be injected into. Its methods run on the owner. */
public interface FaultTarget {
    /**
     * Replaces the faults in force.
     *
     * @param faults the faults from now on
     */
    void inject(Faults faults);

    /**
     * Returns what the stand-in has received and applied.
     *
     * @return the history, empty for stand-ins other than databases
     */
    HistoryReply history();
}
