package org.geraniumproxy.control;

import java.time.Duration;
import java.time.Instant;

/** The one thread that owns the state of a command, with its clock. */
interface EventLoop {
    Instant now();

    void execute(Runnable task);

    void schedule(Duration delay, Runnable task);
}
