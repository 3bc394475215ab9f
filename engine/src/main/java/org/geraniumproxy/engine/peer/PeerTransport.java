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

/** Sends and receives messages of VMs as datagrams: each replaces the one before, so none is repeated. */
public final class PeerTransport {
    /** Largest datagram; messages are far smaller at today's sizes. */
    private static final int MAXIMUM_DATAGRAM_BYTES = 60_000;

    private final DatagramSocket socket;
    private final Consumer<PeerMessage> receiver;
    private final DecisionLog log;

    /**
     * Opens the socket.
     *
     * @param address where messages arrive
     * @param receiver receives the messages on a thread of this class
     * @param log receives failures
     * @throws IOException if the address cannot be used
     */
    public PeerTransport(InetSocketAddress address, Consumer<PeerMessage> receiver, DecisionLog log)
            throws IOException {
        this.socket = new DatagramSocket(address);
        this.receiver = receiver;
        this.log = log;
    }

    /** Starts the thread that receives. */
    public void start() {
        Thread.ofPlatform().daemon().name("peer-datagrams").start(this::receive);
    }

    /**
     * Sends a message to other VMs.
     *
     * @param message the message
     * @param addresses where to, as host and port
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
