package org.dogwoodwood.cli.http;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The host and port on which a process listens.
 *
 * @param host the IP address or host name, without brackets
 * @param port the port
 */
public record NetworkAddress(String host, int port) {

    private static final int MAX_PORT = 65_535;
    private static final Pattern PATTERN =
            Pattern.compile("(?:http://)?(\\[[0-9a-fA-F:.]+]|[A-Za-z0-9.-]+):([0-9]{1,5})/?");

    /** Parses {@code HOST:PORT} or {@code http://HOST:PORT/}; returns empty for any other form. */
    public static Optional<NetworkAddress> parse(String text) {
        Matcher matcher = PATTERN.matcher(text.strip());
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(2));
        if (port == 0 || port > MAX_PORT) {
            return Optional.empty();
        }
        String host = matcher.group(1).replaceAll("[\\[\\]]", "");
        return Optional.of(new NetworkAddress(host, port));
    }

    @Override
    public String toString() {
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
    }
}
