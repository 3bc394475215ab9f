package org.geraniumproxy.engine.loop;

import java.nio.ByteBuffer;

/** Receives the events of a connection on the thread of its event loop. */
public interface StreamHandler {
    /** Called when the connection is open. */
    void onConnected();

    /**
     * Called when bytes have arrived.
     *
     * @param bytes received bytes; the buffer is reused after the call
     */
    void onReceived(ByteBuffer bytes);

    /** Called when the operating system has accepted pending output. */
    default void onWritten() {}

    /**
     * Called when the connection is closed. No other call follows.
     *
     * @param reason cause, for the log
     */
    void onClosed(String reason);
}
