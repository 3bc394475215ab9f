package org.geraniumproxy.engine.peer;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.Semaphore;
import org.geraniumproxy.core.caller.PositionAnswer;
import org.geraniumproxy.core.caller.PositionRequest;
import org.geraniumproxy.core.fleet.PeerMessage;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateHandover;
import org.geraniumproxy.core.limit.TokenAnswer;
import org.geraniumproxy.core.limit.TokenRequest;
import org.geraniumproxy.engine.loop.SocketAddresses;
import org.geraniumproxy.engine.telemetry.DecisionLog;
import org.geraniumproxy.engine.traffic.PeerSender;

/**
 * Exchanges messages between VMs over UDP. A periodic message supersedes the previous one, and a request without an
 * answer is repeated by its sender, so lost datagrams are not retransmitted.
 */
public final class PeerTransport implements PeerSender {
    /** Maximum size of a received datagram. Messages are far smaller at the current size of deployments. */
    private static final int MAXIMUM_DATAGRAM_BYTES = 60_000;

    private interface Encoding {
        byte[] encode() throws IOException;
    }

    /**
     * Bytes of datagrams that wait to be handled; thousands of regular messages. More are dropped, as the operating
     * system drops what its own buffer does not hold.
     */
    private static final int MAXIMUM_WAITING_BYTES = 1024 * 1024;

    private final DatagramSocket socket;
    private final PeerReceiver receiver;
    private final DecisionLog log;
    private final Executor controlExecutor;
    private final Executor trafficExecutor;
    private final Runnable onDropped;
    private final Semaphore waitingBytes = new Semaphore(MAXIMUM_WAITING_BYTES);

    /**
     * Opens the socket.
     *
     * @param address address to receive messages on
     * @param receiver receives the messages on the receiver thread
     * @param log receives failures
     * @throws IOException if the address cannot be bound
     */
    public PeerTransport(InetSocketAddress address, PeerReceiver receiver, DecisionLog log) throws IOException {
        this(address, receiver, log, Runnable::run, Runnable::run, () -> {});
    }

    /**
     * Opens the socket of a transport that hands messages over to other threads.
     *
     * @param address address to receive messages on
     * @param receiver receives the messages on the threads of the executors
     * @param log receives failures
     * @param controlExecutor runs the handling of messages about the fleet
     * @param trafficExecutor runs the handling of requests and answers between VMs
     * @param onDropped called on the receiver thread for each message that was dropped because too many were waiting
     * @throws IOException if the address cannot be bound
     */
    public PeerTransport(
            InetSocketAddress address,
            PeerReceiver receiver,
            DecisionLog log,
            Executor controlExecutor,
            Executor trafficExecutor,
            Runnable onDropped)
            throws IOException {
        this.socket = new DatagramSocket(address);
        this.receiver = receiver;
        this.log = log;
        this.controlExecutor = controlExecutor;
        this.trafficExecutor = trafficExecutor;
        this.onDropped = onDropped;
    }

    /** Starts the receiver thread. It continues after messages that cannot be decoded or handled. */
    public void start() {
        Thread.ofPlatform().daemon().name("peer-datagrams").start(this::receive);
    }

    /**
     * Sends a message to other VMs. Failures are logged.
     *
     * @param message message to send
     * @param addresses host and port of each receiver
     */
    public void send(PeerMessage message, Map<VmName, String> addresses) {
        byte[] bytes;
        try {
            bytes = PeerMessageCodec.encode(message);
        } catch (IOException e) {
            log.write("peer", "message not encoded", "error=\"" + e + "\"");
            return;
        }
        addresses.forEach((vm, address) -> send(bytes, vm, address));
    }

    @Override
    public void send(TokenRequest request, VmName owner, String address) {
        send(() -> TokenMessageCodec.encode(request), owner, address);
    }

    @Override
    public void send(TokenAnswer answer, VmName borrower, String address) {
        send(() -> TokenMessageCodec.encode(answer), borrower, address);
    }

    @Override
    public void send(RateHandover handover, VmName owner, String address) {
        send(() -> TokenMessageCodec.encode(handover), owner, address);
    }

    @Override
    public void send(PositionRequest request, VmName watcher, String address) {
        send(() -> PositionMessageCodec.encode(request), watcher, address);
    }

    @Override
    public void send(PositionAnswer answer, VmName requester, String address) {
        send(() -> PositionMessageCodec.encode(answer), requester, address);
    }

    private void send(Encoding encoding, VmName vm, String address) {
        try {
            send(encoding.encode(), vm, address);
        } catch (IOException e) {
            log.write("peer", "message not encoded", "error=\"" + e + "\"");
        }
    }

    private void send(byte[] bytes, VmName vm, String address) {
        try {
            socket.send(new DatagramPacket(bytes, bytes.length, SocketAddresses.parse(address)));
        } catch (IOException | RuntimeException e) {
            log.write("peer", "message not sent", "vm=" + vm + " error=\"" + e + "\"");
        }
    }

    private void receive() {
        byte[] buffer = new byte[MAXIMUM_DATAGRAM_BYTES];
        while (!socket.isClosed()) {
            DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
            try {
                socket.receive(packet);
                dispatch(buffer, packet.getLength());
            } catch (IOException | RuntimeException e) {
                log.write("peer", "message ignored", "from=" + packet.getAddress() + " error=\"" + e + "\"");
            }
        }
    }

    private void dispatch(byte[] bytes, int length) throws IOException {
        if (length == 0) {
            throw new IOException("empty datagram");
        }
        switch (bytes[0]) {
            case PeerMessageCodec.VERSION -> {
                PeerMessage message = PeerMessageCodec.decode(bytes, length);
                deliver(length, controlExecutor, () -> receiver.onPeerMessage(message));
            }
            case TokenMessageCodec.REQUEST -> {
                TokenRequest request = TokenMessageCodec.decodeRequest(bytes, length);
                deliver(length, trafficExecutor, () -> receiver.onTokenRequest(request));
            }
            case TokenMessageCodec.GRANTED, TokenMessageCodec.NOT_LENDING -> {
                TokenAnswer answer = TokenMessageCodec.decodeAnswer(bytes, length);
                deliver(length, trafficExecutor, () -> receiver.onTokenAnswer(answer));
            }
            case TokenMessageCodec.HANDOVER -> {
                RateHandover handover = TokenMessageCodec.decodeHandover(bytes, length);
                deliver(length, trafficExecutor, () -> receiver.onRateHandover(handover));
            }
            case PositionMessageCodec.REQUEST -> {
                PositionRequest request = PositionMessageCodec.decodeRequest(bytes, length);
                deliver(length, trafficExecutor, () -> receiver.onPositionRequest(request));
            }
            case PositionMessageCodec.ANSWER -> {
                PositionAnswer answer = PositionMessageCodec.decodeAnswer(bytes, length);
                deliver(length, trafficExecutor, () -> receiver.onPositionAnswer(answer));
            }
            default -> throw new IOException("unsupported type of a datagram: " + bytes[0]);
        }
    }

    /** Hands a message over to the thread that handles it, unless too much waits there already. */
    private void deliver(int length, Executor executor, Runnable handling) {
        if (!waitingBytes.tryAcquire(length)) {
            onDropped.run();
            return;
        }
        executor.execute(() -> {
            try {
                handling.run();
            } finally {
                waitingBytes.release(length);
            }
        });
    }
}
