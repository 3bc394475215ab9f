package org.geraniumproxy.engine.traffic;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.caller.BackendReply;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.promotion.DatabaseStatus;

/** Wire protocol between the proxy and the databases. */
public interface BackendProtocol {
    /** Decoder of one connection. The first reply is the response to the opening request. */
    interface Decoder {
        /**
         * Decodes received bytes. Incomplete replies are kept for the next call.
         *
         * @param bytes bytes in the order of their arrival
         * @return complete replies, possibly none
         * @throws IllegalArgumentException if the bytes are not a valid reply
         */
        List<BackendReply> decode(ByteBuffer bytes);

        /**
         * Returns the memory that an incomplete reply takes.
         *
         * @return number of bytes
         */
        default long partialBytes() {
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
     * Creates a decoder that limits the length of a reply. The rows of a longer one are dropped, and its statement is
     * reported as in doubt, so that the connection and the database remain in use.
     *
     * @param maximumReplyBytes most memory that the rows of a reply may take
     * @return a decoder without pending input
     */
    default Decoder decoder(long maximumReplyBytes) {
        return decoder();
    }

    /**
     * Creates a decoder for the replies of a connection that another VM has opened.
     *
     * @param maximumReplyBytes most memory that the rows of a reply may take
     * @return a decoder without pending input, whose first reply is the response to a command
     */
    Decoder decoderOfOpenConnection(long maximumReplyBytes);

    /**
     * Encodes the opening request of a connection.
     *
     * @param group group of the database
     * @param customer customer on whose behalf the connection is used
     * @param database database that is expected at the address
     * @return the encoded request
     */
    byte[] encodeOpening(GroupName group, CustomerName customer, BackendServerName database);

    /**
     * Encodes a command.
     *
     * @param command command to encode
     * @return the encoded request
     */
    byte[] encodeCommand(BackendCommand command);

    /**
     * Decodes the status that a database reports in a reply.
     *
     * @param reply reply to a command
     * @return the status, or empty if the reply contains none
     */
    Optional<DatabaseStatus> decodeStatus(BackendReply reply);
}
