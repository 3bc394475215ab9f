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

/** Translates between commands and replies and the bytes of databases. */
public interface BackendProtocol {
    /** Decodes the bytes of one connection. The first reply answers the opening of the connection. */
    interface Decoder {
        /**
         * Decodes bytes.
         *
         * @param bytes bytes as they arrived
         * @return the replies that are complete
         * @throws IllegalArgumentException if the bytes are no reply
         */
        List<BackendReply> decode(ByteBuffer bytes);
    }

    /**
     * Returns a decoder for a new connection.
     *
     * @return the decoder
     */
    Decoder decoder();

    /**
     * Encodes the opening of a connection.
     *
     * @param group the group
     * @param customer on whose behalf
     * @param database the database that is expected at the address
     * @return the bytes
     */
    byte[] encodeOpening(GroupName group, CustomerName customer, BackendServerName database);

    /**
     * Encodes a command.
     *
     * @param command the command
     * @return the bytes
     */
    byte[] encodeCommand(BackendCommand command);

    /**
     * Decodes the state that a database names in a reply.
     *
     * @param reply the reply
     * @return the state, or empty if the reply names none
     */
    Optional<DatabaseStatus> decodeStatus(BackendReply reply);
}
