package org.geraniumproxy.engine.loop;

import java.nio.ByteBuffer;

/** Receives what happens to a connection, on the thread of its loop. */
public interface StreamHandler {
    /** The connection is open. */
    void onConnected();

    /**
     * Bytes have arrived.
     *
     * @param bytes the bytes, valid during the call only
     */
    void onReceived(ByteBuffer bytes);

    /**
     * The connection has ended. Nothing is called after it.
     *
     * @param reason why
     */
    void onClosed(String reason);
}
