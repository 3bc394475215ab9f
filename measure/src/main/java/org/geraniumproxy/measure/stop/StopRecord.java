package org.geraniumproxy.measure.stop;

import java.time.Duration;
import java.time.Instant;

/**
 * Planned stop of a node.
 *
 * @param node name of the node
 * @param terminated time of the first SIGTERM
 * @param ended time at which the process had ended
 * @param exitCode exit code of the process
 * @param killed whether the process still ran at the end of the grace period and got SIGKILL
 */
record StopRecord(String node, Instant terminated, Instant ended, int exitCode, boolean killed) {
    Duration duration() {
        return Duration.between(terminated, ended);
    }

    boolean overlaps(StopRecord other) {
        return terminated.isBefore(other.ended) && other.terminated.isBefore(ended);
    }

    boolean includes(Instant time) {
        return !time.isBefore(terminated) && !time.isAfter(ended);
    }
}
