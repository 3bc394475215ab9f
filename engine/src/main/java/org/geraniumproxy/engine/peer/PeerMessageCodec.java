package org.geraniumproxy.engine.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.fleet.PeerMessage;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.VmName;

/** Encodes and decodes the periodic messages between VMs. They are sent between regions and should be small. */
final class PeerMessageCodec {
    /** Version in the first byte of a datagram. Datagrams of other versions are rejected. */
    static final int VERSION = 4;

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
            PeerEncoding.writeText(output, message.sender().value());
            PeerEncoding.writeVarint(output, message.configurationVersion());
            output.writeBoolean(message.registered());
            writeMap(output, message.failingFor(), PeerMessageCodec::writeDatabase, PeerEncoding::writeMilliseconds);
            writeMap(
                    output,
                    message.commitsFailingFor(),
                    PeerMessageCodec::writeDatabase,
                    PeerEncoding::writeMilliseconds);
            writeMap(output, message.newestTerms(), PeerMessageCodec::writeGroup, PeerEncoding::writeVarint);
            writeMap(output, message.acknowledged(), PeerMessageCodec::writeGroup, (out, position) -> {
                PeerEncoding.writeVarint(out, position.term().number());
                PeerEncoding.writeVarint(out, position.position());
            });
            writeMap(output, message.claims(), PeerMessageCodec::writeGroup, (out, claim) -> {
                writeDatabase(out, claim.database());
                PeerEncoding.writeVarint(out, claim.term());
            });
        }
        return bytes.toByteArray();
    }

    static PeerMessage decode(byte[] bytes, int length) throws IOException {
        try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(bytes, 0, length))) {
            if (input.readUnsignedByte() != VERSION) {
                throw new IOException("unsupported version of a peer message");
            }
            VmName sender = VmName.of(PeerEncoding.readText(input));
            long version = PeerEncoding.readVarint(input);
            boolean registered = input.readBoolean();
            Map<BackendServerName, Duration> failing =
                    readMap(input, PeerMessageCodec::readDatabase, PeerEncoding::readMilliseconds);
            Map<BackendServerName, Duration> commits =
                    readMap(input, PeerMessageCodec::readDatabase, PeerEncoding::readMilliseconds);
            Map<GroupName, Long> terms = readMap(input, PeerMessageCodec::readGroup, PeerEncoding::readVarint);
            Map<GroupName, LogPosition> acknowledged = readMap(
                    input,
                    PeerMessageCodec::readGroup,
                    in -> LogPosition.of(PeerEncoding.readVarint(in), PeerEncoding.readVarint(in)));
            Map<GroupName, PrimaryClaim> claims = readMap(
                    input,
                    PeerMessageCodec::readGroup,
                    in -> new PrimaryClaim(readDatabase(in), PeerEncoding.readVarint(in)));
            return new PeerMessage(sender, version, registered, failing, commits, terms, acknowledged, claims);
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid name or number in a peer message", e);
        }
    }

    private static <K, V> void writeMap(
            DataOutputStream output, Map<K, V> map, Writer<K> keyWriter, Writer<V> valueWriter) throws IOException {
        PeerEncoding.writeVarint(output, map.size());
        for (Map.Entry<K, V> entry : map.entrySet()) {
            keyWriter.write(output, entry.getKey());
            valueWriter.write(output, entry.getValue());
        }
    }

    private static <K, V> Map<K, V> readMap(DataInputStream input, Reader<K> keyReader, Reader<V> valueReader)
            throws IOException {
        long count = PeerEncoding.readVarint(input);
        Map<K, V> map = new HashMap<>();
        for (long index = 0; index < count; index++) {
            map.put(keyReader.read(input), valueReader.read(input));
        }
        return map;
    }

    private static void writeGroup(DataOutputStream output, GroupName name) throws IOException {
        PeerEncoding.writeText(output, name.value());
    }

    private static GroupName readGroup(DataInputStream input) throws IOException {
        return GroupName.of(PeerEncoding.readText(input));
    }

    private static void writeDatabase(DataOutputStream output, BackendServerName name) throws IOException {
        PeerEncoding.writeText(output, name.value());
    }

    private static BackendServerName readDatabase(DataInputStream input) throws IOException {
        return BackendServerName.of(PeerEncoding.readText(input));
    }
}
