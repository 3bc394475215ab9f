package org.geraniumproxy.engine.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateHandover;
import org.geraniumproxy.core.limit.TokenAnswer;
import org.geraniumproxy.core.limit.TokenRequest;

/**
 * Encodes and decodes requests for rate tokens, their answers and handovers of rates. The first byte tells the type of
 * a datagram.
 */
final class TokenMessageCodec {
    static final int REQUEST = 16;
    static final int GRANTED = 17;
    static final int NOT_LENDING = 18;
    static final int HANDOVER = 21;

    private TokenMessageCodec() {}

    static byte[] encode(TokenRequest request) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream output = new DataOutputStream(bytes)) {
            output.writeByte(REQUEST);
            PeerEncoding.writeText(output, request.borrower().value());
            PeerEncoding.writeText(output, request.customer().value());
            PeerEncoding.writeVarint(output, request.requestId());
            PeerEncoding.writeVarint(output, request.needed());
            PeerEncoding.writeVarint(output, request.ahead());
            PeerEncoding.writeMicroseconds(output, request.maximumWait());
        }
        return bytes.toByteArray();
    }

    static byte[] encode(TokenAnswer answer) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream output = new DataOutputStream(bytes)) {
            output.writeByte(answer instanceof TokenAnswer.Granted ? GRANTED : NOT_LENDING);
            PeerEncoding.writeText(output, answer.customer().value());
            PeerEncoding.writeVarint(output, answer.requestId());
            switch (answer) {
                case TokenAnswer.Granted granted -> {
                    PeerEncoding.writeVarint(output, granted.granted());
                    PeerEncoding.writeMicroseconds(output, granted.delay());
                    PeerEncoding.writeMicroseconds(output, granted.retryAfter());
                }
                case TokenAnswer.NotLending _ -> {}
            }
        }
        return bytes.toByteArray();
    }

    static byte[] encode(RateHandover handover) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream output = new DataOutputStream(bytes)) {
            output.writeByte(HANDOVER);
            PeerEncoding.writeText(output, handover.sender().value());
            PeerEncoding.writeVarint(output, handover.tokens().size());
            for (Map.Entry<CustomerName, Long> entry : handover.tokens().entrySet()) {
                PeerEncoding.writeText(output, entry.getKey().value());
                PeerEncoding.writeVarint(output, entry.getValue());
            }
        }
        return bytes.toByteArray();
    }

    static RateHandover decodeHandover(byte[] bytes, int length) throws IOException {
        try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(bytes, 1, length - 1))) {
            VmName sender = VmName.of(PeerEncoding.readText(input));
            long count = PeerEncoding.readVarint(input);
            Map<CustomerName, Long> tokens = new HashMap<>();
            for (long index = 0; index < count; index++) {
                tokens.put(CustomerName.of(PeerEncoding.readText(input)), PeerEncoding.readVarint(input));
            }
            return new RateHandover(sender, tokens);
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid name or number in a handover", e);
        }
    }

    static TokenRequest decodeRequest(byte[] bytes, int length) throws IOException {
        try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(bytes, 1, length - 1))) {
            return new TokenRequest(
                    VmName.of(PeerEncoding.readText(input)),
                    CustomerName.of(PeerEncoding.readText(input)),
                    PeerEncoding.readVarint(input),
                    PeerEncoding.readInt(input),
                    PeerEncoding.readInt(input),
                    PeerEncoding.readMicroseconds(input));
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid name or number in a token request", e);
        }
    }

    static TokenAnswer decodeAnswer(byte[] bytes, int length) throws IOException {
        try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(bytes, 1, length - 1))) {
            CustomerName customer = CustomerName.of(PeerEncoding.readText(input));
            long requestId = PeerEncoding.readVarint(input);
            if (bytes[0] == NOT_LENDING) {
                return new TokenAnswer.NotLending(customer, requestId);
            }
            return new TokenAnswer.Granted(
                    customer,
                    requestId,
                    PeerEncoding.readInt(input),
                    PeerEncoding.readMicroseconds(input),
                    PeerEncoding.readMicroseconds(input));
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid name or number in a token answer", e);
        }
    }
}
