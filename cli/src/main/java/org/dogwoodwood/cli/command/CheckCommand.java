package org.dogwoodwood.cli.command;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.dogwoodwood.cli.Command;
import org.dogwoodwood.cli.CommandResult;
import org.dogwoodwood.cli.ExitStatus;
import org.dogwoodwood.cli.Invocation;
import org.dogwoodwood.codec.configuration.ConfigurationReader;
import org.dogwoodwood.core.configuration.CheckResult;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.ObjectKind;

/** Checks the configuration files of a directory; works offline. */
public final class CheckCommand implements Command {

    private CheckCommand() {}

    /** Returns the command. */
    public static CheckCommand create() {
        return new CheckCommand();
    }

    @Override
    public String name() {
        return "check";
    }

    @Override
    public String operands() {
        return "DIR";
    }

    @Override
    public String summary() {
        return "Check the configuration in DIR and show all problems.";
    }

    @Override
    public CommandResult run(Invocation invocation) {
        CheckResult result = ConfigurationReader.create().read(invocation.directoryOperand());
        return result.configuration()
                .map(CheckCommand::success)
                .orElseGet(() -> ProblemReport.of(result.problems()));
    }

    private static CommandResult success(Configuration configuration) {
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("ok", true);
        json.putArray("problems");
        String counts =
                Arrays.stream(ObjectKind.values())
                        .map(kind -> kind.label() + " " + configuration.objectsOf(kind).size())
                        .collect(Collectors.joining(", "));
        return new CommandResult(
                ExitStatus.OK, List.of("No problems. Objects: " + counts + "."), json);
    }
}
