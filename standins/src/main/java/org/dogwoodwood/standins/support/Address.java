package org.dogwoodwood.standins.support;

/**
 * The IP address and port on which a process listens.
 *
 * @param host the IP address
 * @param port the port
 */
public record Address(String host, int port) {

    /**
     * Returns the address written as {@code HOST:PORT}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static Address valueOf(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("Write an address as HOST:PORT, not " + text);
        }
        return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Returns an address on 127.0.0.1. */
    public static Address local(int port) {
        return new Address("127.0.0.1", port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
