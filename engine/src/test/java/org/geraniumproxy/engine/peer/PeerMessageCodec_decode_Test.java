package org.geraniumproxy.engine.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
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
import org.junit.jupiter.api.Test;

/**
 * Guards against values that change in transit between VMs, and against malformed datagrams that stop the receiver
 * thread.
 */
class PeerMessageCodec_decode_Test {
    private static final GroupName GROUP = GroupName.of("entries");
    private static final BackendServerName DATABASE = BackendServerName.of("db-1");
    private static final PeerMessage MESSAGE = new PeerMessage(
            VmName.of("vm-1"),
            1L << 40,
            true,
            Map.of(DATABASE, Duration.ofMillis(300)),
            Map.of(DATABASE, Duration.ofSeconds(700)),
            Map.of(GROUP, 128L),
            Map.of(GROUP, LogPosition.of(128, 70_000)),
            Map.of(GROUP, new PrimaryClaim(DATABASE, 127)),
            Map.of());
    private static final PromotionIntent INTENT = new PromotionIntent(
            DATABASE,
            129,
            PromotionIntent.Progress.OPEN,
            Optional.of(LogPosition.of(128, 70_001)),
            Optional.of(new AttemptId("vm-2#7", 3)),
            Instant.EPOCH);

    @Test
    void should_decode_an_encoded_message() throws IOException {
        byte[] bytes = PeerMessageCodec.encode(MESSAGE);
        assertThat(PeerMessageCodec.decode(bytes, bytes.length), is(MESSAGE));
    }

    @Test
    void should_decode_the_promotions_of_a_message() throws IOException {
        PromotionNotice notice = new PromotionNotice(INTENT, new StoreRevision(1, 900), true);
        PeerMessage message = new PeerMessage(
                VmName.of("vm-1"), 1, true, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of(GROUP, notice));
        byte[] bytes = PeerMessageCodec.encode(message);
        assertThat(PeerMessageCodec.decode(bytes, bytes.length), is(message));
    }

    /** Guards against a VM of an earlier release that can't read the messages, and against lost evacuations. */
    @Test
    void should_decode_the_evacuations_at_the_end_of_a_message() throws IOException {
        PeerMessage message = new PeerMessage(
                VmName.of("vm-1"),
                1,
                true,
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                Optional.of(new EvacuationNotice(
                        new StoreRevision(1, 900), Map.of(FailureDomain.of("lima-a"), Duration.ofMillis(300)))));
        byte[] bytes = PeerMessageCodec.encode(message);
        assertThat(PeerMessageCodec.decode(bytes, bytes.length), is(message));
        PeerMessage before =
                new PeerMessage(VmName.of("vm-1"), 1, true, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
        byte[] known = PeerMessageCodec.encode(before);
        assertThat(Arrays.copyOf(bytes, known.length), is(known));
    }

    /** Guards against encoding small numbers with their full width. */
    @Test
    void should_encode_small_numbers_compactly() throws IOException {
        assertThat(PeerMessageCodec.encode(MESSAGE).length, lessThan(100));
    }

    @Test
    void should_reject_a_truncated_message() throws IOException {
        byte[] bytes = PeerMessageCodec.encode(MESSAGE);
        for (int length = 0; length < bytes.length; length++) {
            int truncatedLength = length;
            assertThrows(IOException.class, () -> PeerMessageCodec.decode(bytes, truncatedLength));
        }
    }

    @Test
    void should_reject_an_unterminated_varint() {
        byte[] bytes = new byte[40];
        Arrays.fill(bytes, (byte) 0xff);
        bytes[0] = PeerMessageCodec.VERSION;
        assertThrows(IOException.class, () -> PeerMessageCodec.decode(bytes, bytes.length));
    }
}
