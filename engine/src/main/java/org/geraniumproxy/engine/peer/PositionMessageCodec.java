package org.geraniumproxy.engine.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.geraniumproxy.core.balance.LoadReports;
import org.geraniumproxy.core.caller.PositionAnswer;
import org.geraniumproxy.core.caller.PositionRequest;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.VmName;

/** Encodes and decodes requests for the positions of primaries and their answers. */
final class PositionMessageCodec {
    static final int REQUEST = 19;
    static final int ANSWER = 20;

    private PositionMessageCodec() {}

    static byte[] encode(PositionRequest request) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream output = new DataOutputStream(bytes)) {
            output.writeByte(REQUEST);
            PeerEncoding.writeText(output, request.requester().value());
            PeerEncoding.writeVarint(output, request.requestId());
            LoadEncoding.write(output, request.loads());
        }
        return bytes.toByteArray();
    }

    static byte[] encode(PositionAnswer answer) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream output = new DataOutputStream(bytes)) {
            output.writeByte(ANSWER);
            PeerEncoding.writeVarint(output, answer.requestId());
            PeerEncoding.writeVarint(output, answer.positions().size());
            for (Map.Entry<GroupName, PositionAnswer.AgedPosition> entry :
                    answer.positions().entrySet()) {
                PeerEncoding.writeText(output, entry.getKey().value());
                PeerEncoding.writeVarint(
                        output, entry.getValue().position().term().number());
                PeerEncoding.writeVarint(output, entry.getValue().position().position());
                PeerEncoding.writeMicroseconds(output, entry.getValue().age());
            }
            PeerEncoding.writeVarint(output, answer.loads().vms());
            LoadEncoding.write(output, answer.loads().loads());
        }
        return bytes.toByteArray();
    }

    static PositionRequest decodeRequest(byte[] bytes, int length) throws IOException {
        try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(bytes, 1, length - 1))) {
            return new PositionRequest(
                    VmName.of(PeerEncoding.readText(input)), PeerEncoding.readVarint(input), LoadEncoding.read(input));
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid name in a position request", e);
        }
    }

    static PositionAnswer decodeAnswer(byte[] bytes, int length) throws IOException {
        try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(bytes, 1, length - 1))) {
            long requestId = PeerEncoding.readVarint(input);
            long count = PeerEncoding.readVarint(input);
            Map<GroupName, PositionAnswer.AgedPosition> positions = new HashMap<>();
            for (long index = 0; index < count; index++) {
                GroupName group = GroupName.of(PeerEncoding.readText(input));
                LogPosition position = LogPosition.of(PeerEncoding.readVarint(input), PeerEncoding.readVarint(input));
                positions.put(group, new PositionAnswer.AgedPosition(position, PeerEncoding.readMicroseconds(input)));
            }
            return new PositionAnswer(requestId, positions, readSums(input));
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid name or number in a position answer", e);
        }
    }

    /** Returns no sums if the answer is that of a VM of an earlier version, which sends none. */
    private static LoadReports.Sums readSums(DataInputStream input) throws IOException {
        return input.available() == 0
                ? LoadReports.Sums.NONE
                : new LoadReports.Sums(PeerEncoding.readInt(input), LoadEncoding.read(input));
    }
}
