package org.geraniumproxy.measure.failover;

import org.geraniumproxy.protocol.FaultRequest;

/** Fault of a primary. */
public enum FaultKind {
    /** The network drops all traffic from and to the primary, so calls time out. */
    ISOLATED,
    /** The primary rejects calls immediately and keeps its state. */
    DOWN;

    FaultRequest toRequest() {
        return switch (this) {
            case ISOLATED -> FaultRequest.newBuilder().setIsolated(true).build();
            case DOWN -> FaultRequest.newBuilder().setDown(true).build();
        };
    }
}
