package org.geraniumproxy.measure.stop;

import java.time.Duration;

/** Planned disturbance of a run. */
sealed interface Fault {
    /** Returns the time since the start of the faults. */
    Duration at();

    /**
     * SIGTERM and a restart.
     *
     * @param at time since the start of the faults
     * @param node number of the node
     * @param repeats time between SIGTERM and a SIGHUP with a second SIGTERM; zero for none
     */
    record Stop(Duration at, int node, Duration repeats) implements Fault {}

    /**
     * SIGTERM, a restart and SIGTERM again shortly after the first accepted connection.
     *
     * @param at time since the start of the faults
     * @param node number of the node
     * @param delay time between the first accepted connection and the second stop
     */
    record StopAfterStart(Duration at, int node, Duration delay) implements Fault {}

    /**
     * SIGHUP.
     *
     * @param at time since the start of the faults
     * @param node number of the node
     */
    record HangUp(Duration at, int node) implements Fault {}

    /**
     * New version of the configuration.
     *
     * @param at time since the start of the faults
     */
    record Reconfigure(Duration at) implements Fault {}
}
