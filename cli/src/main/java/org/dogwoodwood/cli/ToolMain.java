package org.dogwoodwood.cli;

import java.util.List;
import org.dogwoodwood.cli.command.CheckCommand;
import org.dogwoodwood.cli.command.DataCentreCommand;
import org.dogwoodwood.cli.command.DiffCommand;
import org.dogwoodwood.cli.command.ExplainCommand;
import org.dogwoodwood.cli.command.HistoryCommand;
import org.dogwoodwood.cli.command.PublishCommand;
import org.dogwoodwood.cli.command.ShowCommand;
import org.dogwoodwood.cli.command.StatusCommand;
import org.dogwoodwood.cli.command.TraceCommand;

/** The entry point of the operators' tool. */
public final class ToolMain {

    private ToolMain() {}

    /** Runs the command line and ends the process with its exit code. */
    public static void main(String[] arguments) {
        ExitStatus status = Tool.create(commands(), ProcessContext.current()).run(arguments);
        System.exit(status.code());
    }

    /** Returns all subcommands in the order in which help lists them. */
    static List<Command> commands() {
        return List.of(
                CheckCommand.create(),
                DiffCommand.create(),
                PublishCommand.create(),
                ShowCommand.create(),
                HistoryCommand.create(),
                DataCentreCommand.create(),
                StatusCommand.create(),
                ExplainCommand.create(),
                TraceCommand.create());
    }
}
