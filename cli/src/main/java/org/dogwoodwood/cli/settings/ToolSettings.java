package org.dogwoodwood.cli.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.cli.CommandException;
import org.dogwoodwood.cli.http.NetworkAddress;

/**
 * The addresses of the platform log and the nodes, and the secret of their admin interfaces.
 *
 * @param logAddress the address of the platform log, if it is set
 * @param nodes the admin addresses of nodes, in the order in which they are tried
 * @param adminPort the admin port of all nodes, if it is the same everywhere
 * @param sharedSecret the secret that admin interfaces expect, if it is set
 */
public record ToolSettings(
        Optional<NetworkAddress> logAddress,
        List<NetworkAddress> nodes,
        Optional<Integer> adminPort,
        Optional<String> sharedSecret) {

    private static final String SECRET_HEADER = "Dogwoodwood-Secret";

    /** Copies the list. */
    public ToolSettings {
        nodes = List.copyOf(nodes);
    }

    /**
     * Returns the address of the log.
     *
     * @throws CommandException if it is not set
     */
    public NetworkAddress requireLogAddress() {
        return logAddress.orElseThrow(
                () ->
                        CommandException.usage(
                                "The address of the platform log is not set.",
                                "Give --log HOST:PORT, DOGWOODWOOD_LOG_ADDRESS or log_address in"
                                        + " dogwoodwood.toml."));
    }

    /**
     * Returns the admin addresses.
     *
     * @throws CommandException if none is set
     */
    public List<NetworkAddress> requireNodes() {
        if (nodes.isEmpty()) {
            throw CommandException.usage(
                    "No node is set.",
                    "Give --node HOST:PORT, DOGWOODWOOD_NODES or nodes in dogwoodwood.toml.");
        }
        return nodes;
    }

    /** Returns the headers of requests to admin interfaces. */
    public Map<String, String> adminHeaders() {
        return sharedSecret.map(secret -> Map.of(SECRET_HEADER, secret)).orElse(Map.of());
    }
}
