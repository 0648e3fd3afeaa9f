package org.dogwoodwood.node.settings;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.Objects;

/**
 * An IP address and a port.
 *
 * @param host the IP address; IPv6 addresses without brackets
 * @param port the port, from 0 to 65535; 0 lets the operating system choose a free port
 */
public record Endpoint(String host, int port) {

    private static final int MAX_PORT = 65_535;

    /** Checks that the host is not blank and that the port is in range. */
    public Endpoint {
        Objects.requireNonNull(host, "host");
        checkArgument(!host.isBlank(), "The host of an address must not be blank.");
        checkArgument(port >= 0 && port <= MAX_PORT, "A port must be from 0 to 65535.");
    }

    /** Returns the endpoint with the given host and port. */
    public static Endpoint of(String host, int port) {
        return new Endpoint(host, port);
    }

    /**
     * Parses an endpoint of the form {@code host:port}, with an IPv6 address in brackets.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        checkArgument(colon > 0, "An address must have the form HOST:PORT.");
        String host = text.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            host = host.substring(1, host.length() - 1);
        } else {
            checkArgument(host.indexOf(':') < 0, "An IPv6 address must be in brackets.");
        }
        try {
            return of(host, Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("The port of an address must be a number.", e);
        }
    }

    /** Returns whether the host is a loopback address. */
    public boolean isLoopback() {
        return host.startsWith("127.") || host.equals("::1") || host.equals("localhost");
    }

    @Override
    public String toString() {
        return host.indexOf(':') >= 0 ? "[" + host + "]:" + port : host + ":" + port;
    }
}
