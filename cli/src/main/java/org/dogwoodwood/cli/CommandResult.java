package org.dogwoodwood.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * The result of a command, as text and as JSON.
 *
 * @param status the exit code
 * @param lines the lines of the text output
 * @param json the same content for {@code --json}
 */
public record CommandResult(ExitStatus status, List<String> lines, JsonNode json) {

    /** Copies the list. */
    public CommandResult {
        lines = List.copyOf(lines);
    }
}
