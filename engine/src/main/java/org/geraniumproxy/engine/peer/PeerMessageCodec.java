package org.geraniumproxy.engine.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.fleet.EvacuationNotice;
import org.geraniumproxy.core.fleet.PeerMessage;
import org.geraniumproxy.core.fleet.PromotionNotice;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.promotion.AttemptId;
import org.geraniumproxy.core.promotion.PromotionIntent;

/** Encodes and decodes the periodic messages between VMs. They are sent between regions and should be small. */
final class PeerMessageCodec {
    /** Version in the first byte of a datagram. Datagrams of other versions are rejected. */
    static final int VERSION = 5;

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
            writeMap(output, message.acknowledged(), PeerMessageCodec::writeGroup, PeerMessageCodec::writePosition);
            writeMap(output, message.claims(), PeerMessageCodec::writeGroup, (out, claim) -> {
                writeDatabase(out, claim.database());
                PeerEncoding.writeVarint(out, claim.term());
            });
            writeMap(output, message.promotions(), PeerMessageCodec::writeGroup, PeerMessageCodec::writePromotion);
            // At the end, so that VMs of an earlier release ignore it.
            if (message.evacuations().isPresent()) {
                writeEvacuations(output, message.evacuations().get());
            }
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
            Map<GroupName, LogPosition> acknowledged =
                    readMap(input, PeerMessageCodec::readGroup, PeerMessageCodec::readPosition);
            Map<GroupName, PrimaryClaim> claims = readMap(
                    input,
                    PeerMessageCodec::readGroup,
                    in -> new PrimaryClaim(readDatabase(in), PeerEncoding.readVarint(in)));
            Map<GroupName, PromotionNotice> promotions =
                    readMap(input, PeerMessageCodec::readGroup, PeerMessageCodec::readPromotion);
            Optional<EvacuationNotice> evacuations =
                    input.available() > 0 ? Optional.of(readEvacuations(input)) : Optional.empty();
            return new PeerMessage(
                    sender,
                    version,
                    registered,
                    failing,
                    commits,
                    terms,
                    acknowledged,
                    claims,
                    promotions,
                    evacuations);
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

    private static void writePromotion(DataOutputStream output, PromotionNotice notice) throws IOException {
        PromotionIntent intent = notice.intent();
        writeDatabase(output, intent.target());
        PeerEncoding.writeVarint(output, intent.term());
        PeerEncoding.writeText(output, intent.progress().name());
        writeOptional(output, intent.lastPosition(), PeerMessageCodec::writePosition);
        writeOptional(output, intent.attempt(), (out, attempt) -> PeerEncoding.writeText(out, attempt.toString()));
        PeerEncoding.writeVarint(output, notice.revision().era());
        PeerEncoding.writeVarint(output, notice.revision().number());
        output.writeBoolean(notice.enforced());
    }

    private static PromotionNotice readPromotion(DataInputStream input) throws IOException {
        BackendServerName target = readDatabase(input);
        long term = PeerEncoding.readVarint(input);
        PromotionIntent.Progress progress = PromotionIntent.Progress.valueOf(PeerEncoding.readText(input));
        PromotionIntent intent = new PromotionIntent(
                target,
                term,
                progress,
                readOptional(input, PeerMessageCodec::readPosition),
                readOptional(input, in -> AttemptId.parse(PeerEncoding.readText(in))),
                Instant.EPOCH);
        StoreRevision revision = new StoreRevision(PeerEncoding.readVarint(input), PeerEncoding.readVarint(input));
        return new PromotionNotice(intent, revision, input.readBoolean());
    }

    private static void writeEvacuations(DataOutputStream output, EvacuationNotice notice) throws IOException {
        PeerEncoding.writeVarint(output, notice.revision().era());
        PeerEncoding.writeVarint(output, notice.revision().number());
        writeMap(
                output,
                notice.ages(),
                (out, failureDomain) -> PeerEncoding.writeText(out, failureDomain.value()),
                PeerEncoding::writeMilliseconds);
    }

    private static EvacuationNotice readEvacuations(DataInputStream input) throws IOException {
        StoreRevision revision = new StoreRevision(PeerEncoding.readVarint(input), PeerEncoding.readVarint(input));
        return new EvacuationNotice(
                revision,
                readMap(input, in -> FailureDomain.of(PeerEncoding.readText(in)), PeerEncoding::readMilliseconds));
    }

    private static <T> void writeOptional(DataOutputStream output, Optional<T> value, Writer<T> writer)
            throws IOException {
        output.writeBoolean(value.isPresent());
        if (value.isPresent()) {
            writer.write(output, value.get());
        }
    }

    private static <T> Optional<T> readOptional(DataInputStream input, Reader<T> reader) throws IOException {
        return input.readBoolean() ? Optional.of(reader.read(input)) : Optional.empty();
    }

    private static void writePosition(DataOutputStream output, LogPosition position) throws IOException {
        PeerEncoding.writeVarint(output, position.term().number());
        PeerEncoding.writeVarint(output, position.position());
    }

    private static LogPosition readPosition(DataInputStream input) throws IOException {
        return LogPosition.of(PeerEncoding.readVarint(input), PeerEncoding.readVarint(input));
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
