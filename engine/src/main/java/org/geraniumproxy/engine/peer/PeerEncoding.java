package org.geraniumproxy.engine.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** Names, numbers and times in messages between VMs. Small numbers take one byte. */
final class PeerEncoding {
    /** Payload bits in each byte of a variable-length integer; the highest bit is set if another byte follows. */
    private static final int VARINT_PAYLOAD_BITS = 7;

    private static final int VARINT_PAYLOAD_MASK = (1 << VARINT_PAYLOAD_BITS) - 1;

    private static final long NANOSECONDS_PER_MICROSECOND = 1000;

    private PeerEncoding() {}

    static void writeMilliseconds(DataOutputStream output, Duration duration) throws IOException {
        writeVarint(output, Math.max(0, duration.toMillis()));
    }

    static Duration readMilliseconds(DataInputStream input) throws IOException {
        return Duration.ofMillis(readVarint(input));
    }

    /** Writes a time rounded up, because the age of a position must not appear shorter than it is. */
    static void writeMicroseconds(DataOutputStream output, Duration duration) throws IOException {
        writeVarint(output, Math.max(0, Math.ceilDiv(duration.toNanos(), NANOSECONDS_PER_MICROSECOND)));
    }

    static Duration readMicroseconds(DataInputStream input) throws IOException {
        try {
            return Duration.ofNanos(Math.multiplyExact(readVarint(input), NANOSECONDS_PER_MICROSECOND));
        } catch (ArithmeticException e) {
            throw new IOException("a time in a peer message is too long", e);
        }
    }

    static void writeText(DataOutputStream output, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        writeVarint(output, bytes.length);
        output.write(bytes);
    }

    static String readText(DataInputStream input) throws IOException {
        long length = readVarint(input);
        if (length > input.available()) {
            throw new IOException("peer message is truncated within a name");
        }
        return new String(input.readNBytes((int) length), StandardCharsets.UTF_8);
    }

    static int readInt(DataInputStream input) throws IOException {
        long number = readVarint(input);
        if (number > Integer.MAX_VALUE) {
            throw new IOException("a number in a peer message is too large");
        }
        return (int) number;
    }

    static void writeVarint(DataOutputStream output, long number) throws IOException {
        long remaining = number;
        while (remaining > VARINT_PAYLOAD_MASK) {
            output.writeByte((int) (remaining & VARINT_PAYLOAD_MASK) | (1 << VARINT_PAYLOAD_BITS));
            remaining >>>= VARINT_PAYLOAD_BITS;
        }
        output.writeByte((int) remaining);
    }

    static long readVarint(DataInputStream input) throws IOException {
        long number = 0;
        for (int shift = 0; shift < Long.SIZE - 1; shift += VARINT_PAYLOAD_BITS) {
            int next = input.readUnsignedByte();
            number |= (long) (next & VARINT_PAYLOAD_MASK) << shift;
            if (next <= VARINT_PAYLOAD_MASK) {
                return number;
            }
        }
        throw new IOException("variable-length integer in a peer message is too long");
    }
}
