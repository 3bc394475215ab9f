package org.geraniumproxy.engine.loop;

import java.net.InetSocketAddress;

/** Parses socket addresses. */
public final class SocketAddresses {
    private SocketAddresses() {}

    /**
     * Parses an address such as {@code 10.1.0.26:8465} and resolves its host.
     *
     * @param text host and port, separated by a colon
     * @return the address, unresolved if the host is unknown
     * @throws IllegalArgumentException if the port is missing or not a number from 0 to 65535
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("address without a port: " + text);
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /**
     * Returns the address for streams of other VMs that use the database connections of a VM.
     *
     * @param peerAddress host and port for datagrams of other VMs
     * @return address with the next port
     */
    public static InetSocketAddress relayAddressOf(String peerAddress) {
        InetSocketAddress peer = parse(peerAddress);
        return new InetSocketAddress(peer.getAddress(), peer.getPort() + 1);
    }
}
