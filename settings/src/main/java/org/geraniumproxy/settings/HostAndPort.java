package org.geraniumproxy.settings;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Network address of a service.
 *
 * @param host IP address or host name; an IPv6 address without brackets
 * @param port TCP port from 0 to 65535; for a listening socket, zero selects a free port
 */
public record HostAndPort(String host, int port) {
    private static final int MAXIMUM_PORT = 65_535;
    private static final Pattern ADDRESS = Pattern.compile("(?:\\[([0-9a-fA-F:.%]+)]|([^\\s:\\[\\]/]+)):(\\d{1,5})");

    /**
     * Validates the address.
     *
     * @throws IllegalArgumentException if the host is empty or the port out of range
     */
    public HostAndPort {
        if (host.isEmpty() || port < 0 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException(
                    "address needs a host and a port from 0 to 65535, but is: " + host + ":" + port);
        }
    }

    /**
     * Parses an address.
     *
     * @param text a text such as {@code "127.0.0.1:7100"} or {@code "[::1]:7100"}
     * @return the address, or empty if the text is malformed or the port is out of range
     */
    public static Optional<HostAndPort> parse(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(3));
        if (port > MAXIMUM_PORT) {
            return Optional.empty();
        }
        String host = matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
        return Optional.of(new HostAndPort(host, port));
    }

    @Override
    public String toString() {
        return host.contains(":") ? "[" + host + "]:" + port : host + ":" + port;
    }
}
