package org.geraniumproxy.engine.traffic;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Way from an entry VM to an owner that a test interrupts. */
final class FaultyLink implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final int ownerPort;
    private volatile boolean dropsRequests;
    private volatile boolean dropsResponses;

    /** Creates a link to the address under which an owner registers. */
    FaultyLink(String ownerAddress) throws IOException {
        ownerPort = Integer.parseInt(ownerAddress.substring(ownerAddress.indexOf(':') + 1)) + 1;
        Thread.ofVirtual().start(this::accept);
    }

    /** Returns the address under which the owner registers with the entry VM. */
    String address() {
        return "127.0.0.1:" + (server.getLocalPort() - 1);
    }

    /** From now on, nothing arrives at the owner. */
    void dropRequests() {
        dropsRequests = true;
    }

    /** From now on, nothing arrives at the entry VM. */
    void dropResponses() {
        dropsResponses = true;
    }

    /** Ends all streams, as the end of the owner's process does. */
    void reset() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** Ends all streams and accepts no new one, as the end of the owner's VM does. */
    void disconnect() throws IOException {
        server.close();
        reset();
    }

    @Override
    public void close() throws IOException {
        disconnect();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket entry = server.accept();
                Socket owner = new Socket(InetAddress.getLoopbackAddress(), ownerPort);
                sockets.add(entry);
                sockets.add(owner);
                Thread.ofVirtual().start(() -> copy(entry, owner, true));
                Thread.ofVirtual().start(() -> copy(owner, entry, false));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void copy(Socket from, Socket to, boolean requests) {
        byte[] buffer = new byte[64 * 1024];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            int count = input.read(buffer);
            while (count >= 0) {
                if (!(requests ? dropsRequests : dropsResponses)) {
                    output.write(buffer, 0, count);
                }
                count = input.read(buffer);
            }
        } catch (IOException e) {
            sockets.remove(from);
        }
    }
}
