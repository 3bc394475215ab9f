package org.geraniumproxy.core.session;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * Binary encoding of a session token: version, customer, number of groups, name and four numbers per group, and a
 * CRC-32C of all preceding bytes. The checksum detects corruption but does not authenticate: a forged token can only
 * make the forger's own reads stricter or refused.
 */
final class SessionTokenEncoding {
    private static final byte VERSION = 1;
    private static final int CHECKSUM_BYTES = Integer.BYTES;
    private static final int POSITIONS_BYTES = 4 * Long.BYTES;

    /** A length of 2 bytes and at most 64 code points of at most 4 bytes each. */
    private static final int NAME_BYTES = 2 + 64 * 4;

    private static final int HEADER_BYTES = 1 + NAME_BYTES + 2;

    private SessionTokenEncoding() {}

    static String encode(SessionToken token) {
        int groups = token.requirements().size();
        ByteBuffer buffer =
                ByteBuffer.allocate(HEADER_BYTES + groups * (NAME_BYTES + POSITIONS_BYTES) + CHECKSUM_BYTES);
        buffer.put(VERSION);
        putName(buffer, token.customer().value());
        buffer.putShort((short) groups);
        new TreeMap<>(token.requirements()).forEach((group, requirement) -> {
            putName(buffer, group.value());
            putPosition(buffer, requirement.lastWrite());
            putPosition(buffer, requirement.lastRead());
        });
        buffer.putInt(checksum(buffer.array(), buffer.position()));
        byte[] bytes = new byte[buffer.position()];
        buffer.flip().get(bytes);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    }

    static TokenDecoding decode(String text, CustomerName customer) {
        if (text.length() > SessionToken.MAXIMUM_TEXT_LENGTH) {
            return new TokenDecoding.Malformed("token is longer than " + SessionToken.MAXIMUM_TEXT_LENGTH);
        }
        try {
            return decodeBytes(Base64.getUrlDecoder().decode(text), customer);
        } catch (IllegalArgumentException | BufferUnderflowException e) {
            return new TokenDecoding.Malformed("token is truncated or has an impossible value");
        }
    }

    private static TokenDecoding decodeBytes(byte[] bytes, CustomerName customer) {
        int contentLength = bytes.length - CHECKSUM_BYTES;
        if (contentLength < 1) {
            return new TokenDecoding.Malformed("token is too short");
        }
        if (bytes[0] != VERSION) {
            return new TokenDecoding.Malformed("token has an unknown version");
        }
        if (ByteBuffer.wrap(bytes).getInt(contentLength) != checksum(bytes, contentLength)) {
            return new TokenDecoding.Malformed("checksum of the token does not match");
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes, 1, contentLength - 1);
        CustomerName owner = CustomerName.of(getName(buffer));
        if (!owner.equals(customer)) {
            return new TokenDecoding.Foreign();
        }
        Map<GroupName, SessionRequirement> requirements = getRequirements(buffer);
        if (buffer.hasRemaining()) {
            return new TokenDecoding.Malformed("token has bytes past its end");
        }
        return new TokenDecoding.Decoded(new SessionToken(owner, requirements));
    }

    private static Map<GroupName, SessionRequirement> getRequirements(ByteBuffer buffer) {
        int groups = Short.toUnsignedInt(buffer.getShort());
        Map<GroupName, SessionRequirement> requirements = new HashMap<>();
        for (int index = 0; index < groups; index++) {
            GroupName group = GroupName.of(getName(buffer));
            LogPosition lastWrite = getPosition(buffer);
            LogPosition lastRead = getPosition(buffer);
            requirements.put(group, new SessionRequirement(lastWrite, lastRead));
        }
        return requirements;
    }

    private static void putName(ByteBuffer buffer, String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        buffer.putShort((short) bytes.length);
        buffer.put(bytes);
    }

    private static String getName(ByteBuffer buffer) {
        byte[] bytes = new byte[Short.toUnsignedInt(buffer.getShort())];
        buffer.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static void putPosition(ByteBuffer buffer, LogPosition position) {
        buffer.putLong(position.term().number());
        buffer.putLong(position.position());
    }

    private static LogPosition getPosition(ByteBuffer buffer) {
        long term = buffer.getLong();
        return LogPosition.of(term, buffer.getLong());
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, length);
        return (int) checksum.getValue();
    }
}
