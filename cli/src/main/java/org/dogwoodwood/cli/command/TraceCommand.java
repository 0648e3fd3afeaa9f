package org.dogwoodwood.cli.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.dogwoodwood.cli.Command;
import org.dogwoodwood.cli.CommandException;
import org.dogwoodwood.cli.CommandResult;
import org.dogwoodwood.cli.ExitStatus;
import org.dogwoodwood.cli.Invocation;
import org.dogwoodwood.cli.trace.RequestTrace;

/** Prints the log lines of several nodes about one request, and the cause of its outcome. */
public final class TraceCommand implements Command {

    private static final String STANDARD_INPUT = "-";

    private TraceCommand() {}

    /** Returns the command. */
    public static TraceCommand create() {
        return new TraceCommand();
    }

    @Override
    public String name() {
        return "trace";
    }

    @Override
    public String operands() {
        return "ID FILE...";
    }

    @Override
    public String summary() {
        return "Print the log lines about a request, and the cause of its outcome.";
    }

    @Override
    public CommandResult run(Invocation invocation) {
        List<String> operands = invocation.variadicOperands("ID", "FILE");
        RequestTrace trace = RequestTrace.of(operands.get(0));
        for (String file : operands.subList(1, operands.size())) {
            read(invocation, file, trace);
        }
        if (trace.isEmpty()) {
            throw CommandException.usage(
                    "No line is about request " + operands.get(0) + ".",
                    "Give the logs of all nodes around the time of the request.");
        }
        List<String> lines = new ArrayList<>(trace.sortedText());
        lines.add("Cause: " + trace.cause());
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("request", operands.get(0));
        ArrayNode array = json.putArray("lines");
        trace.sortedText().forEach(array::add);
        json.put("cause", trace.cause());
        return new CommandResult(ExitStatus.OK, lines, json);
    }

    private static void read(Invocation invocation, String file, RequestTrace trace) {
        Path path = invocation.resolve(file);
        try (BufferedReader reader =
                file.equals(STANDARD_INPUT)
                        ? new BufferedReader(
                                new InputStreamReader(
                                        invocation.standardInput(), StandardCharsets.UTF_8))
                        : Files.newBufferedReader(path, StandardCharsets.ISO_8859_1)) {
            reader.lines().forEach(trace::add);
        } catch (IOException e) {
            throw CommandException.usage(
                    "The file " + path + " cannot be read.", "Specify log files of nodes.");
        }
    }
}
