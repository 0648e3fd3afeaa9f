package org.dogwoodwood.cli.command;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.cli.CommandResult;
import org.dogwoodwood.cli.ExitStatus;

/** The log events of {@code docs/log-events.md}, which the build adds to the tool's jar. */
final class EventCatalogue {

    private static final String RESOURCE = "/org/dogwoodwood/docs/log-events.md";

    private final List<String> lines;

    private EventCatalogue(List<String> lines) {
        this.lines = lines;
    }

    static EventCatalogue load() {
        try (InputStream stream = EventCatalogue.class.getResourceAsStream(RESOURCE)) {
            return stream == null
                    ? new EventCatalogue(List.of())
                    : parse(new String(stream.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new IllegalStateException("A resource of the jar must be readable.", e);
        }
    }

    static EventCatalogue parse(String text) {
        return new EventCatalogue(text.lines().toList());
    }

    /** Returns the table row of an event, with the column headers of its table. */
    Optional<CommandResult> explain(int number) {
        List<String> header = List.of();
        for (String line : lines) {
            List<String> cells = cells(line);
            if (cells.isEmpty()) {
                header = List.of();
            } else if (header.isEmpty()) {
                header = cells;
            } else if (cells.get(0).equals(Integer.toString(number))) {
                return Optional.of(describe(header, cells));
            }
        }
        return Optional.empty();
    }

    private static CommandResult describe(List<String> header, List<String> cells) {
        List<String> text = new ArrayList<>();
        text.add("Event " + cells.get(0) + (cells.size() > 1 ? " " + cells.get(1) : ""));
        for (int column = 2; column < Math.min(header.size(), cells.size()); column++) {
            text.add("  " + header.get(column) + ": " + cells.get(column));
        }
        return new CommandResult(
                ExitStatus.OK,
                text,
                JsonNodeFactory.instance
                        .objectNode()
                        .put("event", Integer.parseInt(cells.get(0)))
                        .put("text", String.join("; ", cells)));
    }

    private static List<String> cells(String line) {
        if (!line.startsWith("|")) {
            return List.of();
        }
        String inner = line.strip().substring(1);
        return Arrays.stream(inner.split("\\|"))
                .map(cell -> cell.strip().replace("`", ""))
                .toList();
    }
}
