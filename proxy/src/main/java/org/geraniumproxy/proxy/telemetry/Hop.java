package org.geraniumproxy.proxy.telemetry;

/** Part of the path of a request that gets a span of its own. */
public enum Hop {
    /** Everything that the entry proxy does for a caller. */
    CALLER_ENTRY("caller entry"),
    /** Wait for a slot and a connection. */
    QUEUE("queue"),
    /** Call to the coordinator on another VM. */
    FORWARD("forward"),
    /** Statement at the backend server. */
    BACKEND_SERVER("backend server"),
    /** Checks and waits between the backend server's answer and the reply, such as the proof of durability. */
    REPLY("reply");

    private final String spanName;

    Hop(String spanName) {
        this.spanName = spanName;
    }

    String spanName() {
        return spanName;
    }
}
