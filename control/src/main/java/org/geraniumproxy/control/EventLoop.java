package org.geraniumproxy.control;

import java.time.Duration;
import java.time.Instant;

/** Clock and single-threaded executor of a command. All state of the command is confined to it. */
interface EventLoop {
    Instant now();

    void execute(Runnable task);

    void schedule(Duration delay, Runnable task);
}
