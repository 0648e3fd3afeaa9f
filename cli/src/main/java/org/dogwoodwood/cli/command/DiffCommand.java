package org.dogwoodwood.cli.command;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.dogwoodwood.cli.Command;
import org.dogwoodwood.cli.CommandResult;
import org.dogwoodwood.cli.ExitStatus;
import org.dogwoodwood.cli.Invocation;
import org.dogwoodwood.cli.log.ConfigurationLog;
import org.dogwoodwood.codec.configuration.ConfigurationReader;
import org.dogwoodwood.core.configuration.CheckResult;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.ConfigurationChange;

/** Shows what a publication would change. */
public final class DiffCommand implements Command {

    private DiffCommand() {}

    /** Returns the command. */
    public static DiffCommand create() {
        return new DiffCommand();
    }

    @Override
    public String name() {
        return "diff";
    }

    @Override
    public String operands() {
        return "DIR";
    }

    @Override
    public String summary() {
        return "Show how DIR differs from the configuration in force.";
    }

    @Override
    public CommandResult run(Invocation invocation) {
        CheckResult result = ConfigurationReader.create().read(invocation.directoryOperand());
        if (result.configuration().isEmpty()) {
            return ProblemReport.of(result.problems());
        }
        Configuration inForce =
                ConfigurationLog.open(invocation.http(), invocation.settings()).history().inForce();
        List<ConfigurationChange> changes =
                ConfigurationChange.between(inForce, result.configuration().get());
        return report(inForce.version(), changes);
    }

    private static CommandResult report(long version, List<ConfigurationChange> changes) {
        List<String> lines = new ArrayList<>();
        lines.add(
                changes.isEmpty()
                        ? "No difference from version " + version + "."
                        : "Changes to version " + version + ":");
        lines.addAll(ChangeReport.lines(changes));
        ObjectNode json = JsonNodeFactory.instance.objectNode().put("version", version);
        ChangeReport.addTo(json, "changes", changes);
        return new CommandResult(ExitStatus.OK, lines, json);
    }
}
