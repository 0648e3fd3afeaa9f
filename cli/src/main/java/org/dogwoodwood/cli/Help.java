package org.dogwoodwood.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionParser;

/** The texts that {@code --help} prints. */
final class Help {

    private Help() {}

    /** Returns the help for the tool as a whole. */
    static CommandResult general(List<Command> commands) {
        List<String> lines = new ArrayList<>();
        lines.add("Usage: dogwoodwood COMMAND [OPERANDS] [OPTIONS]");
        lines.add("");
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode names = json.putArray("commands");
        for (Command command : commands) {
            String usage = command.name() + " " + command.operands();
            lines.add(String.format("  %-32s %s", usage.strip(), command.summary()));
            names.add(command.name());
        }
        lines.add("");
        lines.add("Exit codes:");
        for (ExitStatus status : ExitStatus.values()) {
            lines.add(String.format("  %2d  %s", status.code(), status.meaning()));
        }
        lines.add("");
        lines.add("Run 'dogwoodwood COMMAND --help' for the options of a command.");
        return new CommandResult(ExitStatus.OK, lines, json);
    }

    /** Returns the help for one command. */
    static CommandResult of(Command command, OptionParser parser) {
        StringWriter options = new StringWriter();
        try {
            parser.printHelpOn(options);
        } catch (IOException e) {
            throw new IllegalStateException("Writing to memory must not fail.", e);
        }
        String usage = "Usage: dogwoodwood " + command.name() + " " + command.operands();
        List<String> lines = new ArrayList<>();
        lines.add(usage.strip() + " [OPTIONS]");
        lines.add("");
        lines.add(command.summary());
        lines.add("");
        options.toString().lines().map(String::stripTrailing).forEach(lines::add);
        return new CommandResult(
                ExitStatus.OK, lines, JsonNodeFactory.instance.objectNode().put("usage", usage));
    }
}
