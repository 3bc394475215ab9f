package org.geraniumproxy.engine.relay;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.caller.ConnectionState;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.pool.PoolLoad;
import org.geraniumproxy.core.relay.RefusalReason;
import org.geraniumproxy.core.relay.RelayMessage;
import org.geraniumproxy.core.statement.StatementTemplate;

/**
 * Encodes messages as frames: the length of the rest, a type, and fields. Numbers have a variable length, because bytes
 * between regions are billed and most numbers are small.
 */
public final class RelayFrameCodec {
    /**
     * Longest frame. Four times the longest message of a caller, because one frame holds a statement and the commands
     * that apply the session's state.
     */
    public static final int MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024;

    /** Longest part of the replies in one frame. */
    static final int MAXIMUM_REPLY_PART_BYTES = 1024 * 1024;

    private static final int HELLO = 1;
    private static final int PING = 2;
    private static final int PONG = 3;
    private static final int ACQUIRE = 4;
    private static final int COMMANDS = 5;
    private static final int RELEASE_SLOT = 6;
    private static final int RELEASE = 7;
    private static final int CANCEL = 8;
    private static final int CLOSE = 9;
    private static final int QUEUED = 10;
    private static final int GRANTED = 11;
    private static final int REFUSED = 12;
    private static final int REPLIES = 13;
    private static final int LOST = 14;

    /** A varint has seven bits a byte; the length of the longest frame takes four bytes. */
    private static final int MAXIMUM_LENGTH_BYTES = 4;

    private static final int PAYLOAD_BITS = 7;
    private static final int PAYLOAD_MASK = 0x7f;
    private static final int CONTINUATION = 0x80;
    private static final int MAXIMUM_SHIFT = 63;
    private static final long NANOSECONDS_PER_MICROSECOND = 1000;

    private RelayFrameCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the frame
     * @throws IllegalArgumentException if the frame would be longer than {@link #MAXIMUM_FRAME_BYTES}
     */
    public static byte[] encode(RelayMessage message) {
        Output body = new Output();
        switch (message) {
            case RelayMessage.Hello hello ->
                body.type(HELLO).text(hello.sender().value());
            case RelayMessage.Ping _ -> body.type(PING);
            case RelayMessage.Pong _ -> body.type(PONG);
            case RelayMessage.Acquire acquire ->
                body.type(ACQUIRE)
                        .number(acquire.channel())
                        .text(acquire.database().value())
                        .text(acquire.customer().value())
                        .number(acquire.weight())
                        .number(Double.doubleToLongBits(acquire.cost()) >>> Integer.SIZE)
                        .number(Math.max(0, acquire.remaining().toMillis()))
                        .flag(acquire.holdsConnection());
            case RelayMessage.Commands commands ->
                body.type(COMMANDS)
                        .number(commands.channel())
                        .number(commands.replies())
                        .flag(commands.endsSlot())
                        .bytes(commands.encoded());
            case RelayMessage.ReleaseSlot release -> body.type(RELEASE_SLOT).number(release.channel());
            case RelayMessage.Release release ->
                body.type(RELEASE)
                        .number(release.channel())
                        .flag(release.rollback())
                        .state(release.changedState());
            case RelayMessage.Cancel cancel -> body.type(CANCEL).number(cancel.channel());
            case RelayMessage.Close close -> body.type(CLOSE).number(close.channel());
            case RelayMessage.Queued queued ->
                body.type(QUEUED).number(queued.channel()).load(queued.load());
            case RelayMessage.Granted granted ->
                body.type(GRANTED)
                        .number(granted.channel())
                        .number(granted.connection())
                        .state(granted.state())
                        .load(granted.load());
            case RelayMessage.Refused refused ->
                body.type(REFUSED)
                        .number(refused.channel())
                        .number(codeOf(refused.reason()))
                        .number(refused.retryAfter().toMillis())
                        .load(refused.load());
            case RelayMessage.Replies replies ->
                body.type(REPLIES)
                        .number(replies.channel())
                        .flag(replies.last())
                        .load(replies.load())
                        .bytes(replies.encoded());
            case RelayMessage.Lost lost ->
                body.type(LOST).number(lost.channel()).text(lost.reason());
        }
        return body.frame();
    }

    /**
     * Decodes the body of a frame.
     *
     * @param frame type and fields
     * @return the message
     * @throws IllegalArgumentException if the frame is malformed
     */
    static RelayMessage decode(ByteBuffer frame) {
        try {
            Input input = new Input(frame);
            RelayMessage message = decode(frame.get(), input);
            if (frame.hasRemaining()) {
                throw new IllegalArgumentException("a frame has more bytes than its message");
            }
            return message;
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException("a frame is truncated", e);
        }
    }

    private static RelayMessage decode(int type, Input input) {
        return switch (type) {
            case HELLO -> new RelayMessage.Hello(VmName.of(input.text()));
            case PING -> new RelayMessage.Ping();
            case PONG -> new RelayMessage.Pong();
            case ACQUIRE ->
                new RelayMessage.Acquire(
                        input.number(),
                        BackendServerName.of(input.text()),
                        CustomerName.of(input.text()),
                        input.positive(),
                        input.cost(),
                        Duration.ofMillis(input.smallNumber()),
                        input.flag());
            case COMMANDS -> new RelayMessage.Commands(input.number(), input.positive(), input.flag(), input.rest());
            case RELEASE_SLOT -> new RelayMessage.ReleaseSlot(input.number());
            case RELEASE -> {
                long channel = input.number();
                boolean rollback = input.flag();
                yield new RelayMessage.Release(channel, input.state(), rollback);
            }
            case CANCEL -> new RelayMessage.Cancel(input.number());
            case CLOSE -> new RelayMessage.Close(input.number());
            case QUEUED -> new RelayMessage.Queued(input.number(), input.load());
            case GRANTED -> new RelayMessage.Granted(input.number(), input.number(), input.state(), input.load());
            case REFUSED ->
                new RelayMessage.Refused(
                        input.number(), input.reason(), Duration.ofMillis(input.smallNumber()), input.load());
            case REPLIES -> {
                long channel = input.number();
                boolean last = input.flag();
                Optional<PoolLoad> load = input.load();
                yield new RelayMessage.Replies(channel, last, input.rest(), load);
            }
            case LOST -> new RelayMessage.Lost(input.number(), input.text());
            default -> throw new IllegalArgumentException("unknown frame type " + type);
        };
    }

    private static int codeOf(RefusalReason reason) {
        return switch (reason) {
            case NOT_OWNER -> 1;
            case STOPPING -> 2;
            case DATABASE_UNAVAILABLE -> 3;
            case QUEUE -> 4;
        };
    }

    /** Decoder of one stream. Not thread-safe. */
    static final class Decoder {
        private ByteBuffer pending = ByteBuffer.allocate(0);

        /**
         * Decodes received bytes. Bytes of an incomplete frame are kept for the next call.
         *
         * @param bytes bytes in the order of their arrival
         * @return messages of the complete frames
         * @throws IllegalArgumentException if a frame is malformed or too long
         */
        List<RelayMessage> decode(ByteBuffer bytes) {
            ByteBuffer input = bytes;
            if (pending.hasRemaining()) {
                input = ByteBuffer.allocate(pending.remaining() + bytes.remaining());
                input.put(pending).put(bytes).flip();
            }
            List<RelayMessage> messages = new ArrayList<>();
            int length = frameLength(input);
            while (length >= 0 && length <= input.remaining()) {
                byte[] body = new byte[length];
                input.get(body);
                messages.add(RelayFrameCodec.decode(ByteBuffer.wrap(body)));
                length = frameLength(input);
            }
            if (length >= 0) {
                input.position(input.position() - lengthBytes(length));
            }
            byte[] rest = new byte[input.remaining()];
            input.get(rest);
            pending = ByteBuffer.wrap(rest);
            return messages;
        }

        /** Reads the length of the next frame, or returns -1 and keeps the position if it is incomplete. */
        private static int frameLength(ByteBuffer input) {
            int start = input.position();
            int length = 0;
            for (int count = 0; count < MAXIMUM_LENGTH_BYTES; count++) {
                if (!input.hasRemaining()) {
                    input.position(start);
                    return -1;
                }
                int octet = input.get();
                length |= (octet & PAYLOAD_MASK) << (count * PAYLOAD_BITS);
                if ((octet & CONTINUATION) == 0) {
                    if (length < 1 || length > MAXIMUM_FRAME_BYTES || lengthBytes(length) != count + 1) {
                        throw new IllegalArgumentException("a frame of " + length + " bytes");
                    }
                    return length;
                }
            }
            throw new IllegalArgumentException("the length of a frame is too long");
        }

        private static int lengthBytes(int length) {
            int count = 1;
            for (int rest = length >>> PAYLOAD_BITS; rest != 0; rest >>>= PAYLOAD_BITS) {
                count++;
            }
            return count;
        }
    }

    private static final class Output {
        private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        private final DataOutputStream output = new DataOutputStream(buffer);

        Output type(int type) {
            buffer.write(type);
            return this;
        }

        Output number(long number) {
            writeNumber(buffer, number);
            return this;
        }

        Output flag(boolean flag) {
            buffer.write(flag ? 1 : 0);
            return this;
        }

        Output text(String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            return number(bytes.length).bytes(ByteBuffer.wrap(bytes));
        }

        Output bytes(ByteBuffer bytes) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.duplicate().get(copy);
            try {
                output.write(copy);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return this;
        }

        /** Writes 0 for no load, because a frame with a load has at least the length of its numbers. */
        Output load(Optional<PoolLoad> load) {
            flag(load.isPresent());
            load.ifPresent(known -> number(known.slotsInUse())
                    .number(known.waiting())
                    .number(known.serviceTime().toNanos() / NANOSECONDS_PER_MICROSECOND));
            return this;
        }

        Output state(Optional<ConnectionState> state) {
            flag(state.isPresent());
            state.ifPresent(this::state);
            return this;
        }

        private void state(ConnectionState state) {
            number(state.nextStatementNumber());
            number(state.variables().size());
            state.variables().forEach((name, value) -> text(name).text(value));
            number(state.preparedStatements().size());
            state.preparedStatements()
                    .forEach((template, name) ->
                            flag(template.write()).text(template.text()).text(name));
        }

        byte[] frame() {
            if (buffer.size() > MAXIMUM_FRAME_BYTES) {
                throw new IllegalArgumentException("a frame of " + buffer.size() + " bytes is too long");
            }
            ByteArrayOutputStream frame = new ByteArrayOutputStream(buffer.size() + MAXIMUM_LENGTH_BYTES);
            writeNumber(frame, buffer.size());
            frame.writeBytes(buffer.toByteArray());
            return frame.toByteArray();
        }

        private static void writeNumber(ByteArrayOutputStream target, long number) {
            long rest = number;
            while ((rest & ~PAYLOAD_MASK) != 0) {
                target.write((int) (rest & PAYLOAD_MASK) | CONTINUATION);
                rest >>>= PAYLOAD_BITS;
            }
            target.write((int) rest);
        }
    }

    private record Input(ByteBuffer buffer) {
        long number() {
            long number = 0;
            for (int shift = 0; shift < MAXIMUM_SHIFT; shift += PAYLOAD_BITS) {
                int octet = buffer.get();
                number |= (long) (octet & PAYLOAD_MASK) << shift;
                if ((octet & CONTINUATION) == 0) {
                    return number;
                }
            }
            throw new IllegalArgumentException("a number is too long");
        }

        int smallNumber() {
            long number = number();
            if (number > Integer.MAX_VALUE) {
                throw new IllegalArgumentException("a number is too large");
            }
            return (int) number;
        }

        int positive() {
            int number = smallNumber();
            if (number < 1) {
                throw new IllegalArgumentException("a number must be positive");
            }
            return number;
        }

        /** The upper half of the bits has six decimal digits, which a cost does not exceed. */
        double cost() {
            double cost = Double.longBitsToDouble(number() << Integer.SIZE);
            if (!(cost > 0) || Double.isInfinite(cost)) {
                throw new IllegalArgumentException("a cost must be positive");
            }
            return cost;
        }

        boolean flag() {
            byte octet = buffer.get();
            if (octet != 0 && octet != 1) {
                throw new IllegalArgumentException("a flag must be 0 or 1");
            }
            return octet == 1;
        }

        String text() {
            int length = smallNumber();
            if (length > buffer.remaining()) {
                throw new IllegalArgumentException("a text is truncated");
            }
            byte[] bytes = new byte[length];
            buffer.get(bytes);
            return new String(bytes, StandardCharsets.UTF_8);
        }

        ByteBuffer rest() {
            ByteBuffer rest = buffer.slice();
            buffer.position(buffer.limit());
            return rest;
        }

        RefusalReason reason() {
            int code = smallNumber();
            return switch (code) {
                case 1 -> RefusalReason.NOT_OWNER;
                case 2 -> RefusalReason.STOPPING;
                case 3 -> RefusalReason.DATABASE_UNAVAILABLE;
                case 4 -> RefusalReason.QUEUE;
                default -> throw new IllegalArgumentException("unknown reason " + code);
            };
        }

        Optional<PoolLoad> load() {
            return flag()
                    ? Optional.of(new PoolLoad(
                            smallNumber(),
                            smallNumber(),
                            Duration.ofNanos(smallNumber() * NANOSECONDS_PER_MICROSECOND)))
                    : Optional.empty();
        }

        Optional<ConnectionState> state() {
            if (!flag()) {
                return Optional.empty();
            }
            int nextStatementNumber = smallNumber();
            Map<String, String> variables = new HashMap<>();
            for (int count = smallNumber(); count > 0; count--) {
                variables.put(text(), text());
            }
            Map<StatementTemplate, String> preparedStatements = new HashMap<>();
            for (int count = smallNumber(); count > 0; count--) {
                preparedStatements.put(new StatementTemplate(flag(), text()), text());
            }
            return Optional.of(new ConnectionState(variables, preparedStatements, nextStatementNumber));
        }
    }
}
