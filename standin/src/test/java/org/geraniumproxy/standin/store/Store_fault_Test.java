package org.geraniumproxy.standin.store;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.geraniumproxy.protocol.CompareAndSwapReply;
import org.geraniumproxy.protocol.CompareAndSwapRequest;
import org.geraniumproxy.protocol.FaultReply;
import org.geraniumproxy.protocol.FaultRequest;
import org.geraniumproxy.protocol.FaultServiceGrpc;
import org.geraniumproxy.protocol.GetReply;
import org.geraniumproxy.protocol.GetRequest;
import org.geraniumproxy.protocol.GrantLeaseRequest;
import org.geraniumproxy.protocol.StoreServiceGrpc;
import org.geraniumproxy.protocol.StoreStatisticsReply;
import org.geraniumproxy.protocol.StoreStatisticsRequest;
import org.geraniumproxy.protocol.WatchRequest;
import org.geraniumproxy.standin.StandinPlatform;
import org.geraniumproxy.standin.Transport;
import org.geraniumproxy.standin.runtime.VirtualTimeExecutor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class Store_fault_Test {
    private final VirtualTimeExecutor executor = VirtualTimeExecutor.at(Instant.EPOCH);
    private final StandinPlatform platform = StandinPlatform.start(new Transport.InProcess(), executor);
    private final String address = UUID.randomUUID().toString();
    private final List<String> watchResults = new ArrayList<>();
    private ManagedChannel channel;
    private StoreServiceGrpc.StoreServiceBlockingStub store;

    @BeforeEach
    void start() {
        platform.addStore(address);
        channel = platform.openChannel(address);
        store = StoreServiceGrpc.newBlockingStub(channel);
    }

    @AfterEach
    void stop() {
        channel.shutdownNow();
        platform.close();
    }

    /** Guards against two successful swaps that expect the same revision. */
    @Test
    void should_reject_a_swap_that_expects_an_old_revision() {
        // given
        CompareAndSwapReply first = swap("roster", 0, "a", 0);
        // when
        CompareAndSwapReply second = swap("roster", 0, "b", 0);
        // then
        assertThat(first.getSwapped(), is(true));
        assertThat(second.getSwapped(), is(false));
        assertThat(second.getValue().toStringUtf8(), is("a"));
        assertThat(second.getRevision(), is(first.getRevision()));
    }

    /** Guards against a watch that misses a change or isn't answered when its wait has passed. */
    @Test
    void should_answer_a_watch_on_change_and_on_timeout() {
        // given
        watch("roster", 0, 100);
        watch("roster", 0, 50);
        // when
        executor.advance(Duration.ofMillis(50));
        assertThat(watchResults, contains("absent"));
        swap("roster", 0, "a", 0);
        // then
        assertThat(watchResults, contains("absent", "a"));
        StoreStatisticsReply statistics = store.statistics(StoreStatisticsRequest.getDefaultInstance());
        assertThat(statistics.getWatches(), is(2L));
        assertThat(statistics.getWrites(), is(1L));
    }

    /** Guards against keys that remain after their lease has expired. */
    @Test
    void should_delete_the_keys_of_an_expired_lease() {
        // given
        long lease = store.grantLease(
                        GrantLeaseRequest.newBuilder().setTimeToLiveMillis(30).build())
                .getLease();
        long revision = swap("member", 0, "vm-1", lease).getRevision();
        watch("member", revision, 1000);
        // when
        executor.advance(Duration.ofMillis(29));
        assertThat(watchResults, empty());
        executor.advance(Duration.ofMillis(1));
        // then
        assertThat(watchResults, contains("absent"));
    }

    /** Guards against a lost-reply fault that also discards the write. */
    @Test
    void should_keep_the_write_whose_reply_is_lost() {
        // given
        inject(FaultRequest.newBuilder().setLoseReplies(1));
        // when
        assertThrows(StatusRuntimeException.class, () -> swap("roster", 0, "a", 0));
        // then
        GetReply read = store.get(GetRequest.newBuilder().setKey("roster").build());
        assertThat(read.getValue().toStringUtf8(), is("a"));
    }

    /** Guards against a store that replies to calls or applies writes while it is down. */
    @Test
    void should_fail_calls_and_watches_while_down() {
        // given
        watch("roster", 0, 1000);
        // when
        inject(FaultRequest.newBuilder().setDown(true));
        assertThrows(StatusRuntimeException.class, () -> swap("roster", 0, "a", 0));
        inject(FaultRequest.newBuilder());
        // then
        assertThat(watchResults, contains("failed"));
        assertThat(store.get(GetRequest.newBuilder().setKey("roster").build()).getFound(), is(false));
    }

    private CompareAndSwapReply swap(String key, long expectedRevision, String value, long lease) {
        return store.compareAndSwap(CompareAndSwapRequest.newBuilder()
                .setKey(key)
                .setExpectedRevision(expectedRevision)
                .setValue(ByteString.copyFromUtf8(value))
                .setLease(lease)
                .build());
    }

    private void inject(FaultRequest.Builder faults) {
        FaultReply unused = FaultServiceGrpc.newBlockingStub(channel).inject(faults.build());
    }

    private void watch(String key, long knownRevision, long waitMillis) {
        WatchRequest request = WatchRequest.newBuilder()
                .setKey(key)
                .setKnownRevision(knownRevision)
                .setWaitMillis(waitMillis)
                .build();
        StoreServiceGrpc.newStub(channel).watch(request, new StreamObserver<>() {
            @Override
            public void onNext(GetReply reply) {
                watchResults.add(reply.getFound() ? reply.getValue().toStringUtf8() : "absent");
            }

            @Override
            public void onError(Throwable failure) {
                watchResults.add("failed");
            }

            @Override
            public void onCompleted() {}
        });
    }
}
