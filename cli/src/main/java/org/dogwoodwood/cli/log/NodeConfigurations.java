package org.dogwoodwood.cli.log;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.cli.http.NetworkAddress;
import org.dogwoodwood.cli.http.SimpleHttpClient;
import org.dogwoodwood.cli.settings.ToolSettings;
import org.dogwoodwood.codec.configuration.ConfigurationJsonCodec;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.configuration.AcceptedConfiguration;

/** Queries nodes for the configuration in force, if it cannot be derived from an expired log. */
final class NodeConfigurations {

    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private NodeConfigurations() {}

    /**
     * Queries all nodes of the settings; leaves out nodes that do not respond or do not know the
     * version in force.
     */
    static List<AcceptedConfiguration> query(SimpleHttpClient http, ToolSettings settings) {
        return settings.nodes().stream()
                .flatMap(address -> query(http, settings, address).stream())
                .toList();
    }

    private static Optional<AcceptedConfiguration> query(
            SimpleHttpClient http, ToolSettings settings, NetworkAddress address) {
        try {
            // The offset is read first: an older offset only makes the ledger evaluate more
            // records.
            JsonNode status = get(http, settings, address, "/status");
            JsonNode inForce = get(http, settings, address, "/configuration");
            JsonNode offset = status.at("/log/configuration_offset");
            if (!offset.isIntegralNumber() || !inForce.path("log_state_known").asBoolean()) {
                return Optional.empty();
            }
            return Optional.of(
                    new AcceptedConfiguration(
                            inForce.path("version").asLong(),
                            inForce.path("publication_id").asText(),
                            document(inForce.path("document")),
                            offset.longValue() - 1));
        } catch (DogwoodwoodException e) {
            return Optional.empty();
        }
    }

    private static JsonNode get(
            SimpleHttpClient http, ToolSettings settings, NetworkAddress address, String path) {
        return http.get(address, path, settings.adminHeaders(), TIMEOUT).json();
    }

    private static String document(JsonNode json) {
        return json.isMissingNode()
                ? ""
                : ConfigurationJsonCodec.encode(ConfigurationJsonCodec.decode(json.toString()));
    }
}
