package org.geraniumproxy.measure.failover;

import org.geraniumproxy.protocol.FaultRequest;

/** How a primary fails. */
public enum FaultKind {
    /** The network drops everything from and to it; its calls hang. */
    ISOLATED,
    /** Its process refuses calls at once and keeps its state. */
    DOWN;

    FaultRequest toRequest() {
        return switch (this) {
            case ISOLATED -> FaultRequest.newBuilder().setIsolated(true).build();
            case DOWN -> FaultRequest.newBuilder().setDown(true).build();
        };
    }
}
