package org.dogwoodwood.cli.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.cli.CommandException;
import org.dogwoodwood.cli.ExitStatus;
import org.dogwoodwood.cli.http.NetworkAddress;
import org.dogwoodwood.codec.configuration.EditDistanceSuggestions;
import org.dogwoodwood.core.ErrorCode;

/** Reads the tool's settings: options override environment variables, which override the file. */
public final class ToolSettingsReader {

    /** The settings file that is read from the working directory if it exists. */
    public static final String DEFAULT_FILE = "dogwoodwood.toml";

    private static final String LOG_ADDRESS = "log_address";
    private static final String NODES = "nodes";
    private static final String SHARED_SECRET = "shared_secret";
    private static final String ADMIN_PORT = "admin_port";
    private static final List<String> KEYS = List.of(LOG_ADDRESS, NODES, ADMIN_PORT, SHARED_SECRET);
    private static final int MAX_PORT = 65_535;
    private static final TomlMapper MAPPER = new TomlMapper();

    private ToolSettingsReader() {}

    /**
     * Reads the settings.
     *
     * @param log the value of the option {@code --log}, if given
     * @param nodes the values of the option {@code --node}
     * @param environment the environment variables
     * @param file the settings file, or empty for none
     * @throws CommandException if the file or an address is not valid
     */
    public static ToolSettings read(
            Optional<String> log,
            List<String> nodes,
            Map<String, String> environment,
            Optional<Path> file) {
        Settings fromFile = file.map(ToolSettingsReader::readFile).orElse(Settings.EMPTY);
        Optional<String> logAddress =
                log.or(() -> environmentVariable(environment, "DOGWOODWOOD_LOG_ADDRESS"))
                        .or(fromFile::logAddress);
        List<String> addresses = nodes;
        if (addresses.isEmpty()) {
            addresses =
                    environmentVariable(environment, "DOGWOODWOOD_NODES")
                            .map(List::of)
                            .orElse(List.of());
        }
        if (addresses.isEmpty()) {
            addresses = fromFile.nodes();
        }
        return new ToolSettings(
                logAddress.map(ToolSettingsReader::parseAddress),
                addresses.stream()
                        .flatMap(value -> Arrays.stream(value.split(",")))
                        .filter(value -> !value.isBlank())
                        .map(ToolSettingsReader::parseAddress)
                        .distinct()
                        .toList(),
                fromFile.adminPort(),
                environmentVariable(environment, "DOGWOODWOOD_SHARED_SECRET")
                        .or(fromFile::sharedSecret));
    }

    private static Optional<String> environmentVariable(
            Map<String, String> environment, String name) {
        return Optional.ofNullable(environment.get(name)).filter(value -> !value.isBlank());
    }

    private static NetworkAddress parseAddress(String text) {
        return NetworkAddress.parse(text)
                .orElseThrow(
                        () ->
                                CommandException.usage(
                                        "'" + text + "' is not an address.",
                                        "Write HOST:PORT, for example 127.0.0.1:7100."));
    }

    private static Settings readFile(Path file) {
        JsonNode root;
        try {
            root = MAPPER.readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            throw invalidSettings(
                    file + ":" + e.getLocation().getLineNr() + ": The TOML is not valid.",
                    "Correct this line.");
        } catch (IOException e) {
            throw invalidSettings(file + " cannot be read.", "Check its name and permissions.");
        }
        root.fieldNames().forEachRemaining(key -> requireKnown(file, key));
        return new Settings(
                readString(file, root, LOG_ADDRESS),
                readNodes(file, root),
                readAdminPort(file, root),
                readString(file, root, SHARED_SECRET));
    }

    private static void requireKnown(Path file, String key) {
        if (!KEYS.contains(key)) {
            throw invalidSettings(
                    file + ": '" + key + "' is not a setting of the tool.",
                    EditDistanceSuggestions.create()
                            .closest(key, KEYS)
                            .map(name -> "Did you mean '" + name + "'?")
                            .orElse("Use " + String.join(", ", KEYS) + "."));
        }
    }

    private static Optional<String> readString(Path file, JsonNode root, String key) {
        JsonNode value = root.path(key);
        if (!value.isMissingNode() && !value.isTextual()) {
            throw invalidSettings(
                    file + ": " + key + " has the wrong type.", "Write a string in quotes.");
        }
        return Optional.ofNullable(value.textValue());
    }

    private static Optional<Integer> readAdminPort(Path file, JsonNode root) {
        JsonNode value = root.path(ADMIN_PORT);
        if (value.isMissingNode()) {
            return Optional.empty();
        }
        if (!value.isInt() || value.intValue() < 1 || value.intValue() > MAX_PORT) {
            throw invalidSettings(
                    file + ": admin_port is not a port.", "Write a number from 1 to 65535.");
        }
        return Optional.of(value.intValue());
    }

    private static List<String> readNodes(Path file, JsonNode root) {
        JsonNode value = root.path(NODES);
        if (value.isMissingNode()) {
            return List.of();
        }
        List<String> texts = new ArrayList<>();
        if (value instanceof ArrayNode array) {
            array.forEach(
                    element -> Optional.ofNullable(element.textValue()).ifPresent(texts::add));
        }
        if (texts.isEmpty() || texts.size() != value.size()) {
            throw invalidSettings(
                    file + ": nodes has the wrong type.",
                    "Write a list of strings, such as [\"10.0.0.1:7100\"].");
        }
        return texts;
    }

    private static CommandException invalidSettings(String detail, String remedy) {
        return CommandException.of(ExitStatus.USAGE, ErrorCode.SETTINGS_INVALID, detail, remedy);
    }

    /** The values of a settings file. */
    private record Settings(
            Optional<String> logAddress,
            List<String> nodes,
            Optional<Integer> adminPort,
            Optional<String> sharedSecret) {

        static final Settings EMPTY =
                new Settings(Optional.empty(), List.of(), Optional.empty(), Optional.empty());
    }
}
