package org.geraniumproxy.standin.runtime;

import org.geraniumproxy.protocol.HistoryReply;

/** A stand-in into which faults can be injected. Its methods run on the executor. */
public interface FaultTarget {
    /**
     * Replaces the active faults.
     *
     * @param faults the new faults
     */
    void inject(Faults faults);

    /**
     * Returns what the stand-in has received and applied.
     *
     * @return the history, empty for stand-ins other than databases
     */
    HistoryReply history();
}
