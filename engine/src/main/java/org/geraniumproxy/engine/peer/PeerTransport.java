package org.geraniumproxy.engine.peer;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Consumer;
import org.geraniumproxy.core.fleet.PeerMessage;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.engine.loop.SocketAddresses;
import org.geraniumproxy.engine.telemetry.DecisionLog;

/**
 * Exchanges messages between VMs over UDP. Each message supersedes the previous one, so lost datagrams are not
 * retransmitted.
 */
public final class PeerTransport {
    /** Maximum size of a received datagram. Messages are far smaller at the current size of deployments. */
    private static final int MAXIMUM_DATAGRAM_BYTES = 60_000;

    private final DatagramSocket socket;
    private final Consumer<PeerMessage> receiver;
    private final DecisionLog log;

    /**
     * Opens the socket.
     *
     * @param address address to receive messages on
     * @param receiver called with each message on the receiver thread
     * @param log receives failures
     * @throws IOException if the address cannot be bound
     */
    public PeerTransport(InetSocketAddress address, Consumer<PeerMessage> receiver, DecisionLog log)
            throws IOException {
        this.socket = new DatagramSocket(address);
        this.receiver = receiver;
        this.log = log;
    }

    /** Starts the receiver thread. */
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
                receiver.accept(PeerMessageCodec.decode(buffer, packet.getLength()));
            } catch (IOException e) {
                log.write("peer", "message not received", "error=\"" + e + "\"");
            }
        }
    }
}
