package org.geraniumproxy.measure.process;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Allocates ports below the range of outgoing connections, so that no connection takes the port of a node while it is
 * being restarted. Allocated ports are not reused.
 */
public final class PortAllocator {
    private static final int FIRST = 20_000;
    private static final int COUNT = 11_000;

    private int next;

    /** Creates an allocator whose first port depends on this process. */
    public PortAllocator() {
        // Soaks that run at the same time start at different ports, because a port is only bound later.
        this.next = (int) (ProcessHandle.current().pid() * 211 % COUNT);
    }

    /**
     * Returns a port that is free for TCP and UDP on the loopback address.
     *
     * @return the port
     * @throws IllegalStateException if there is none
     */
    public synchronized int allocate() {
        for (int i = 0; i < COUNT; i++) {
            int port = FIRST + next;
            next = (next + 1) % COUNT;
            if (isFree(port)) {
                return port;
            }
        }
        throw new IllegalStateException("no free port from " + FIRST + " to " + (FIRST + COUNT - 1));
    }

    private static boolean isFree(int port) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        try (ServerSocket tcp = new ServerSocket();
                DatagramSocket udp = new DatagramSocket(null)) {
            tcp.bind(address);
            udp.bind(address);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
