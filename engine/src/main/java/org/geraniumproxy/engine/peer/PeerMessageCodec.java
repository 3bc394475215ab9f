package org.geraniumproxy.engine.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.fleet.PeerMessage;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.VmName;

/**
 * Encodes and decodes messages between VMs. Numbers have a variable length, because messages are sent between regions
 * several times a second and should be small.
 */
final class PeerMessageCodec {
    /** Version in the first byte of a datagram. Datagrams of other versions are rejected. */
    private static final int VERSION = 3;

    /** Rates are encoded in hundredths of an operation per second. */
    private static final double RATE_SCALE = 100;

    /** Payload bits in each byte of a variable-length integer; the highest bit is set if another byte follows. */
    private static final int VARINT_PAYLOAD_BITS = 7;

    private static final int VARINT_PAYLOAD_MASK = (1 << VARINT_PAYLOAD_BITS) - 1;

    private PeerMessageCodec() {}

    private interface Writer<T> {
        void write(DataOutputStream output, T value) throws IOException;
    }

    private interface Reader<T> {
        T read(DataInputStream input) throws IOException;
    }

    static byte[] encode(PeerMessage message) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream output = new DataOutputStream(bytes)) {
            output.writeByte(VERSION);
            writeText(output, message.sender().value());
            writeVarint(output, message.configurationVersion());
            writeMap(
                    output,
                    message.demand(),
                    (out, name) -> writeText(out, name.value()),
                    (out, rate) -> writeVarint(out, Math.round(rate * RATE_SCALE)));
            writeMap(output, message.failingFor(), PeerMessageCodec::writeDatabase, PeerMessageCodec::writeDuration);
            writeMap(
                    output,
                    message.commitsFailingFor(),
                    PeerMessageCodec::writeDatabase,
                    PeerMessageCodec::writeDuration);
            writeMap(output, message.newestTerms(), PeerMessageCodec::writeGroup, PeerMessageCodec::writeVarint);
            writeMap(output, message.acknowledged(), PeerMessageCodec::writeGroup, (out, position) -> {
                writeVarint(out, position.term().number());
                writeVarint(out, position.position());
            });
            writeMap(output, message.claims(), PeerMessageCodec::writeGroup, (out, claim) -> {
                writeDatabase(out, claim.database());
                writeVarint(out, claim.term());
            });
        }
        return bytes.toByteArray();
    }

    static PeerMessage decode(byte[] bytes, int length) throws IOException {
        try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(bytes, 0, length))) {
            if (input.readUnsignedByte() != VERSION) {
                throw new IOException("unsupported version of a peer message");
            }
            VmName sender = VmName.of(readText(input));
            long version = readVarint(input);
            Map<CustomerName, Double> demand =
                    readMap(input, in -> CustomerName.of(readText(in)), in -> readVarint(in) / RATE_SCALE);
            Map<BackendServerName, Duration> failing =
                    readMap(input, PeerMessageCodec::readDatabase, PeerMessageCodec::readDuration);
            Map<BackendServerName, Duration> commits =
                    readMap(input, PeerMessageCodec::readDatabase, PeerMessageCodec::readDuration);
            Map<GroupName, Long> terms = readMap(input, PeerMessageCodec::readGroup, PeerMessageCodec::readVarint);
            Map<GroupName, LogPosition> acknowledged =
                    readMap(input, PeerMessageCodec::readGroup, in -> LogPosition.of(readVarint(in), readVarint(in)));
            Map<GroupName, PrimaryClaim> claims = readMap(
                    input, PeerMessageCodec::readGroup, in -> new PrimaryClaim(readDatabase(in), readVarint(in)));
            return new PeerMessage(sender, version, demand, failing, commits, terms, acknowledged, claims);
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid name or number in a peer message", e);
        }
    }

    private static <K, V> void writeMap(
            DataOutputStream output, Map<K, V> map, Writer<K> keyWriter, Writer<V> valueWriter) throws IOException {
        writeVarint(output, map.size());
        for (Map.Entry<K, V> entry : map.entrySet()) {
            keyWriter.write(output, entry.getKey());
            valueWriter.write(output, entry.getValue());
        }
    }

    private static <K, V> Map<K, V> readMap(DataInputStream input, Reader<K> keyReader, Reader<V> valueReader)
            throws IOException {
        long count = readVarint(input);
        Map<K, V> map = new HashMap<>();
        for (long index = 0; index < count; index++) {
            map.put(keyReader.read(input), valueReader.read(input));
        }
        return map;
    }

    private static void writeGroup(DataOutputStream output, GroupName name) throws IOException {
        writeText(output, name.value());
    }

    private static GroupName readGroup(DataInputStream input) throws IOException {
        return GroupName.of(readText(input));
    }

    private static void writeDatabase(DataOutputStream output, BackendServerName name) throws IOException {
        writeText(output, name.value());
    }

    private static BackendServerName readDatabase(DataInputStream input) throws IOException {
        return BackendServerName.of(readText(input));
    }

    private static void writeDuration(DataOutputStream output, Duration duration) throws IOException {
        writeVarint(output, Math.max(0, duration.toMillis()));
    }

    private static Duration readDuration(DataInputStream input) throws IOException {
        return Duration.ofMillis(readVarint(input));
    }

    private static void writeText(DataOutputStream output, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        writeVarint(output, bytes.length);
        output.write(bytes);
    }

    private static String readText(DataInputStream input) throws IOException {
        long length = readVarint(input);
        if (length > input.available()) {
            throw new IOException("peer message is truncated within a name");
        }
        return new String(input.readNBytes((int) length), StandardCharsets.UTF_8);
    }

    private static void writeVarint(DataOutputStream output, long number) throws IOException {
        long remaining = number;
        while (remaining > VARINT_PAYLOAD_MASK) {
            output.writeByte((int) (remaining & VARINT_PAYLOAD_MASK) | (1 << VARINT_PAYLOAD_BITS));
            remaining >>>= VARINT_PAYLOAD_BITS;
        }
        output.writeByte((int) remaining);
    }

    private static long readVarint(DataInputStream input) throws IOException {
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
