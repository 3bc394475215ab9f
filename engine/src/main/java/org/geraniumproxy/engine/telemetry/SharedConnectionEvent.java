package org.geraniumproxy.engine.telemetry;

/** Event in the use of another VM's database connections, counted by {@link NodeMetrics}. */
public enum SharedConnectionEvent {
    /** This VM asked an owner for a slot. */
    REQUESTED,
    /** An owner granted a slot to this VM. */
    GRANTED,
    /** An owner refused a slot to this VM. */
    REFUSED,
    /** This VM opened a connection of its own because no owner responded. */
    USED_DIRECTLY,
    /** A channel of this VM ended with the stream or with the connection to the database. */
    LOST,
    /** Commands were not sent because the stream to the owner was full. */
    NOT_SENT,
    /** This VM granted a slot to another VM. */
    LENT,
    /** This VM refused a slot to another VM. */
    DECLINED,
    /** This VM opened a stream to an owner. */
    STREAM_OPENED,
    /** A stream to an owner ended. */
    STREAM_ENDED
}
