package org.dogwoodwood.node.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.dogwoodwood.core.model.NodeId;

/** Reads the settings of a node from TOML and reports all problems together. */
public final class SettingsReader {

    private static final int MAX_SLOTS = 100_000;
    private static final int MAX_POLLS_PER_SECOND = 1_000;

    private SettingsReader() {}

    /**
     * Reads a settings file.
     *
     * @param file the file, not null
     * @throws SettingsException if the file cannot be read or is invalid
     */
    public static NodeSettings read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new SettingsException(
                    List.of(
                            new SettingsProblem(
                                    file.toString(),
                                    "cannot be read: " + e.getMessage(),
                                    "Check its path and permissions.")));
        }
    }

    /**
     * Parses the text of a settings file.
     *
     * @param toml the text, not null
     * @throws SettingsException if the text is invalid
     */
    public static NodeSettings parse(String toml) {
        List<SettingsProblem> problems = new ArrayList<>();
        SettingsTable root = new SettingsTable("", parseToml(toml), problems);
        NodeSettings settings =
                new NodeSettings(
                        NodeId.of(root.text("node_id").orElseGet(SettingsReader::generateId)),
                        root.requiredText("data_centre", "north"),
                        root.requiredEndpoint("caller_address", "0.0.0.0:8080"),
                        root.endpoint("caller_http2_address"),
                        root.requiredEndpoint("peer_address", "10.0.0.1:7400"),
                        root.requiredEndpoint("admin_address", "127.0.0.1:7401"),
                        root.table("target").map(SettingsReader::target),
                        root.endpoint("log_address"),
                        root.endpoints("seeds"),
                        root.text("shared_secret"),
                        root.table("budgets").map(SettingsReader::budgets).orElse(Budgets.DEFAULT));
        root.reportUnknownKeys();
        checkAcrossKeys(settings, root);
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
        return settings;
    }

    private static JsonNode parseToml(String toml) {
        try {
            return new TomlMapper().readTree(toml);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new SettingsException(
                    List.of(
                            new SettingsProblem(
                                    "line " + line,
                                    "is not valid TOML: " + e.getOriginalMessage() + ".",
                                    "Correct the syntax.")));
        }
    }

    private static TargetSettings target(SettingsTable table) {
        TargetSettings target =
                new TargetSettings(
                        table.requiredText("service", "outings"),
                        table.requiredEndpoint("address", "127.0.0.1:9000"),
                        table.requiredInteger("slots", 18, 1, MAX_SLOTS),
                        table.requiredInteger("connections", 240, 2, MAX_SLOTS),
                        table.integer("cold_slots", 1, 1, MAX_SLOTS));
        if (target.coldSlots() > target.slots()) {
            table.addProblem(
                    "cold_slots",
                    "exceeds slots.",
                    "A cold target has at most as many slots as a warm one.");
        }
        table.reportUnknownKeys();
        return target;
    }

    private static Budgets budgets(SettingsTable table) {
        Budgets base = Budgets.DEFAULT;
        Budgets budgets =
                new Budgets(
                        table.number(
                                "polls_per_second",
                                base.pollsPerSecond(),
                                0.1,
                                MAX_POLLS_PER_SECOND),
                        table.number("poll_call_share", base.pollCallShare(), 0, 1),
                        table.integer("slow_sender_ms", base.slowSenderMillis(), 100, 600_000),
                        table.integer("stop_seconds", base.stopSeconds(), 1, 3_600));
        table.reportUnknownKeys();
        return budgets;
    }

    private static void checkAcrossKeys(NodeSettings settings, SettingsTable root) {
        String peerHost = settings.peerAddress().host();
        if (peerHost.equals("0.0.0.0") || peerHost.equals("::")) {
            root.addProblem(
                    "peer_address",
                    "is a wildcard address.",
                    "Use an IP address of this VM, to which peers can connect.");
        }
        if (!settings.adminAddress().isLoopback() && settings.sharedSecret().isEmpty()) {
            root.addProblem(
                    "admin_address",
                    "can be reached from other hosts without a secret.",
                    "Use 127.0.0.1, or set shared_secret.");
        }
    }

    private static String generateId() {
        return "node-" + UUID.randomUUID();
    }
}
