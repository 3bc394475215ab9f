package org.geraniumproxy.engine.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.geraniumproxy.core.balance.LoadReport;
import org.geraniumproxy.core.balance.LoadReports;
import org.geraniumproxy.core.balance.ResponseSummary;
import org.geraniumproxy.core.caller.PositionAnswer;
import org.geraniumproxy.core.caller.PositionRequest;
import org.geraniumproxy.core.fleet.PeerMessage;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateHandover;
import org.geraniumproxy.core.limit.TokenAnswer;
import org.geraniumproxy.core.limit.TokenRequest;
import org.geraniumproxy.engine.loop.SocketAddresses;
import org.geraniumproxy.engine.telemetry.DecisionLog;
import org.junit.jupiter.api.Test;

/** Guards against a datagram that ends the receiver thread, after which the VM hears no other one. */
class PeerTransport_receive_Test {
    private static final long TIMEOUT_SECONDS = 5;
    private static final VmName SELF = VmName.of("vm-1");
    private static final TokenRequest REQUEST = new TokenRequest(
            VmName.of("vm-2"), CustomerName.of("troupe"), 1L << 40, 3, 200, Duration.ofNanos(50_123_000));

    private final BlockingQueue<Object> received = new LinkedBlockingQueue<>();
    private final DecisionLog log = new DecisionLog(new PrintStream(PrintStream.nullOutputStream()));

    private static final Map<BackendServerName, LoadReport> LOADS = Map.of(
            BackendServerName.of("i-1a"),
            new LoadReport(7, new ResponseSummary(1000.25, 0.5, Duration.ofMillis(31)), Duration.ofMillis(400)));

    @Test
    void should_receive_requests_and_answers() throws Exception {
        String address = start(new Recorder());
        try (PeerTransportSender sender = new PeerTransportSender()) {
            sender.transport.send(REQUEST, SELF, address);
            assertThat(next(), is(REQUEST));
            TokenAnswer granted =
                    new TokenAnswer.Granted(CustomerName.of("troupe"), 7, 2, Duration.ofMillis(12), Duration.ofDays(1));
            sender.transport.send(granted, SELF, address);
            assertThat(next(), is(granted));
            TokenAnswer notLending = new TokenAnswer.NotLending(CustomerName.of("troupe"), 8);
            sender.transport.send(notLending, SELF, address);
            assertThat(next(), is(notLending));
            RateHandover handover = new RateHandover(SELF, Map.of(CustomerName.of("troupe"), 300L));
            sender.transport.send(handover, SELF, address);
            assertThat(next(), is(handover));
            PositionRequest positionRequest = new PositionRequest(SELF, 1L << 33, LOADS);
            sender.transport.send(positionRequest, SELF, address);
            assertThat(next(), is(positionRequest));
            PositionAnswer positions = new PositionAnswer(
                    9,
                    Map.of(
                            GroupName.of("entries"),
                            new PositionAnswer.AgedPosition(LogPosition.of(3, 70_000), Duration.ofMillis(350))),
                    new LoadReports.Sums(11, LOADS));
            sender.transport.send(positions, SELF, address);
            assertThat(next(), is(positions));
        }
    }

    @Test
    void should_continue_after_a_receiver_failed() throws Exception {
        String address = start(new Recorder() {
            @Override
            public void onPeerMessage(PeerMessage message) {
                throw new IllegalStateException("failure of the receiver");
            }
        });
        try (PeerTransportSender sender = new PeerTransportSender()) {
            PeerMessage message =
                    new PeerMessage(SELF, 1, true, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
            sender.transport.send(message, Map.of(SELF, address));
            sender.transport.send(REQUEST, SELF, address);
            assertThat(next(), is(REQUEST));
        }
    }

    /**
     * Random bytes behind each type byte; the seed is fixed so that a failure repeats. A valid request follows each
     * malformed datagram, so that the datagrams don't exceed the receive buffer of the socket.
     */
    @Test
    void should_continue_after_malformed_datagrams() throws Exception {
        String address = start(new Recorder());
        Random random = new Random(19);
        byte[] types = {
            PeerMessageCodec.VERSION,
            TokenMessageCodec.REQUEST,
            TokenMessageCodec.GRANTED,
            TokenMessageCodec.HANDOVER,
            PositionMessageCodec.REQUEST,
            PositionMessageCodec.ANSWER,
            0
        };
        try (DatagramSocket socket = new DatagramSocket();
                PeerTransportSender sender = new PeerTransportSender()) {
            for (int run = 0; run < 700; run++) {
                byte[] bytes = new byte[random.nextInt(80)];
                random.nextBytes(bytes);
                if (bytes.length > 0) {
                    bytes[0] = types[run % types.length];
                }
                socket.send(new DatagramPacket(bytes, bytes.length, SocketAddresses.parse(address)));
                sender.transport.send(REQUEST, SELF, address);
                Object last = next();
                while (!REQUEST.equals(last)) {
                    last = next();
                }
            }
        }
    }

    /** Guards against messages that arrive faster than they are handled and fill the heap. */
    @Test
    void should_drop_messages_while_too_many_wait_to_be_handled() throws Exception {
        Queue<Runnable> waiting = new ConcurrentLinkedQueue<>();
        CountDownLatch dropped = new CountDownLatch(1);
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        new PeerTransport(address, new Recorder(), log, waiting::add, waiting::add, dropped::countDown).start();
        Map<CustomerName, Long> parts = new HashMap<>();
        for (long customer = 0; customer < 2000; customer++) {
            parts.put(CustomerName.of("customer-" + customer), customer);
        }
        RateHandover handover = new RateHandover(SELF, parts);
        String target = "127.0.0.1:" + address.getPort();
        try (PeerTransportSender sender = new PeerTransportSender()) {
            // About 30 KB each, so 1 MiB is exceeded by far, also if the operating system drops some.
            for (int count = 0; count < 2000 && dropped.getCount() > 0; count++) {
                sender.transport.send(handover, SELF, target);
            }
            assertThat(dropped.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
            assertThat(waiting.size(), is(lessThan(100)));
            waiting.forEach(Runnable::run);
            waiting.clear();
            received.clear();
            sender.transport.send(REQUEST, SELF, target);
            for (int attempt = 0; waiting.isEmpty() && attempt < 100; attempt++) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
            waiting.forEach(Runnable::run);
            assertThat(received.contains(REQUEST) || received.contains(handover), is(true));
        }
    }

    private Object next() throws InterruptedException {
        Object message = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (message == null) {
            throw new AssertionError("no message arrived");
        }
        return message;
    }

    private static int freePort() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private String start(PeerReceiver receiver) throws IOException {
        int port = freePort();
        new PeerTransport(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), receiver, log).start();
        return "127.0.0.1:" + port;
    }

    private class Recorder implements PeerReceiver {
        @Override
        public void onPeerMessage(PeerMessage message) {
            received.add(message);
        }

        @Override
        public void onTokenRequest(TokenRequest request) {
            received.add(request);
        }

        @Override
        public void onTokenAnswer(TokenAnswer answer) {
            received.add(answer);
        }

        @Override
        public void onRateHandover(RateHandover handover) {
            received.add(handover);
        }

        @Override
        public void onPositionRequest(PositionRequest request) {
            received.add(request);
        }

        @Override
        public void onPositionAnswer(PositionAnswer answer) {
            received.add(answer);
        }
    }

    private final class PeerTransportSender implements AutoCloseable {
        private final PeerTransport transport;

        PeerTransportSender() throws IOException {
            transport =
                    new PeerTransport(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), new Recorder(), log);
        }

        /** Does nothing: the socket is closed when the test process ends. */
        @Override
        public void close() {}
    }
}
