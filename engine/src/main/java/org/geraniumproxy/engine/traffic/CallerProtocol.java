package org.geraniumproxy.engine.traffic;

import java.nio.ByteBuffer;
import java.util.List;
import org.geraniumproxy.core.caller.SessionEffect;
import org.geraniumproxy.core.caller.StatementResult;

/** Translates between the bytes of callers and messages. */
public interface CallerProtocol {
    /** Decodes the bytes of one connection. */
    interface Decoder {
        /**
         * Decodes bytes.
         *
         * @param bytes bytes as they arrived
         * @return the messages that are complete
         */
        List<CallerMessage> decode(ByteBuffer bytes);
    }

    /**
     * Returns a decoder for a new connection.
     *
     * @return the decoder
     */
    Decoder decoder();

    /**
     * Encodes that a caller is connected.
     *
     * @return the bytes
     */
    byte[] encodeAccepted();

    /**
     * Encodes that a caller is refused; the connection is closed afterwards.
     *
     * @param failure why
     * @return the bytes
     */
    byte[] encodeRejected(StatementResult.Failed failure);

    /**
     * Encodes the answer to a statement.
     *
     * @param reply the answer
     * @return the bytes
     */
    byte[] encodeReply(SessionEffect.Reply reply);
}
