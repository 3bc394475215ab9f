package org.geraniumproxy.engine.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.geraniumproxy.core.caller.ConnectionState;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.pool.PoolLoad;
import org.geraniumproxy.core.relay.RefusalReason;
import org.geraniumproxy.core.relay.RelayMessage;
import org.geraniumproxy.core.statement.StatementTemplate;
import org.junit.jupiter.api.Test;

/** Guards against messages that arrive changed, and against frames that exhaust the memory or end the thread. */
class RelayFrameCodec_decode_Test {
    private static final Optional<PoolLoad> LOAD = Optional.of(new PoolLoad(3, 40, Duration.ofMillis(7)));
    private static final ConnectionState STATE =
            new ConnectionState(Map.of("a", "b"), Map.of(new StatementTemplate(true, "put $1"), "p1"), 2);
    private static final List<RelayMessage> MESSAGES = List.of(
            new RelayMessage.Hello(VmName.of("vm-1")),
            new RelayMessage.Ping(),
            new RelayMessage.Pong(),
            new RelayMessage.Acquire(
                    300, BackendServerName.of("db"), CustomerName.of("c"), 8, 1.5, Duration.ofMillis(900), true),
            new RelayMessage.Commands(1, 2, true, ByteBuffer.wrap(new byte[] {1, 2, 3})),
            new RelayMessage.ReleaseSlot(5),
            new RelayMessage.Release(1L << 40, Optional.of(STATE), true),
            new RelayMessage.Cancel(1),
            new RelayMessage.Close(1),
            new RelayMessage.Queued(1, Optional.empty()),
            new RelayMessage.Granted(1, 9, Optional.of(ConnectionState.EMPTY), LOAD),
            new RelayMessage.Refused(1, RefusalReason.QUEUE, Duration.ofMillis(40), LOAD),
            new RelayMessage.Replies(1, true, ByteBuffer.wrap(new byte[200]), LOAD),
            new RelayMessage.Lost(1, "closed"));

    @Test
    void should_decode_all_messages_however_the_bytes_are_divided() {
        ByteBuffer all = ByteBuffer.allocate(4096);
        MESSAGES.forEach(message -> all.put(RelayFrameCodec.encode(message)));
        all.flip();
        for (int size : List.of(1, 2, 3, 7, 100, 4096)) {
            RelayFrameCodec.Decoder decoder = new RelayFrameCodec.Decoder();
            List<RelayMessage> decoded = new ArrayList<>();
            for (int start = 0; start < all.limit(); start += size) {
                decoded.addAll(decoder.decode(all.slice(start, Math.min(size, all.limit() - start))));
            }
            assertThat(decoded, is(MESSAGES));
        }
    }

    @Test
    void should_reject_malformed_frames() {
        List<byte[]> malformed = List.of(
                new byte[] {0},
                new byte[] {1, 99},
                new byte[] {1, 8},
                new byte[] {3, 8, 1, 1},
                new byte[] {2, 8, (byte) 0x80},
                new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1},
                new byte[] {(byte) 0x82, 0, 8, 1},
                new byte[] {3, 14, 1, 120},
                new byte[] {5, 12, 1, 9, 0, 0});
        for (byte[] frame : malformed) {
            assertThrows(
                    IllegalArgumentException.class, () -> new RelayFrameCodec.Decoder().decode(ByteBuffer.wrap(frame)));
        }
    }

    /** Any other exception, or a large allocation, would affect more than the stream that sent the bytes. */
    @Test
    void should_fail_only_with_an_illegal_argument_on_arbitrary_bytes() {
        Random random = new Random(4711);
        for (int round = 0; round < 20_000; round++) {
            byte[] bytes = new byte[1 + random.nextInt(40)];
            random.nextBytes(bytes);
            bytes[0] = (byte) (bytes.length - 1);
            if (bytes.length > 1) {
                bytes[1] = (byte) (1 + random.nextInt(14));
            }
            try {
                var unused = new RelayFrameCodec.Decoder().decode(ByteBuffer.wrap(bytes));
            } catch (IllegalArgumentException e) {
                assertThat(e.getMessage().isEmpty(), is(false));
            }
        }
    }

    @Test
    void should_not_encode_a_frame_that_the_receiver_rejects() {
        RelayMessage tooLong =
                new RelayMessage.Commands(1, 1, true, ByteBuffer.allocate(RelayFrameCodec.MAXIMUM_FRAME_BYTES));
        assertThrows(IllegalArgumentException.class, () -> RelayFrameCodec.encode(tooLong));
    }
}
