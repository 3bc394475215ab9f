package org.geraniumproxy.engine.traffic;

import java.nio.ByteBuffer;
import java.util.List;
import org.geraniumproxy.core.caller.SessionEffect;
import org.geraniumproxy.core.caller.StatementResult;

/** Wire protocol between callers and the proxy. */
public interface CallerProtocol {
    /** Decoder of one connection. */
    interface Decoder {
        /**
         * Decodes received bytes. Incomplete messages are kept for the next call.
         *
         * @param bytes bytes in the order of their arrival
         * @return complete messages, possibly none
         */
        List<CallerMessage> decode(ByteBuffer bytes);

        /**
         * Returns the memory that an incomplete message takes.
         *
         * @return number of bytes, 0 if no message has begun
         */
        default int partialBytes() {
            return 0;
        }
    }

    /**
     * Creates a decoder for a new connection.
     *
     * @return a decoder without pending input
     */
    Decoder decoder();

    /**
     * Encodes the acceptance of a session.
     *
     * @return the encoded message
     */
    byte[] encodeAccepted();

    /**
     * Encodes the rejection of a session. The connection is closed afterwards.
     *
     * @param failure reason for the rejection
     * @return the encoded message
     */
    byte[] encodeRejected(StatementResult.Failed failure);

    /**
     * Encodes the reply to a statement.
     *
     * @param reply reply to encode
     * @return the encoded message
     */
    byte[] encodeReply(SessionEffect.Reply reply);
}
