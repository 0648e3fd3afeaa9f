package org.dogwoodwood.cli.command;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.cli.Command;
import org.dogwoodwood.cli.CommandException;
import org.dogwoodwood.cli.CommandResult;
import org.dogwoodwood.cli.ExitStatus;
import org.dogwoodwood.cli.Invocation;
import org.dogwoodwood.core.ErrorCode;

/** Explains the number of an error or of a log event. */
public final class ExplainCommand implements Command {

    /** The lowest number of the errors that operators see, but not callers. */
    private static final int FIRST_OPERATOR_ERROR = 4_000;

    private ExplainCommand() {}

    /** Returns the command. */
    public static ExplainCommand create() {
        return new ExplainCommand();
    }

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String operands() {
        return "NUMBER";
    }

    @Override
    public String summary() {
        return "Explain the number of an error or of a log event.";
    }

    @Override
    public CommandResult run(Invocation invocation) {
        String operand = invocation.operands("NUMBER").get(0);
        int number;
        try {
            number = Integer.parseInt(operand);
        } catch (NumberFormatException e) {
            throw CommandException.usage(
                    "'" + operand + "' is not a number.", "Specify an error or event number.");
        }
        Optional<CommandResult> error = ErrorCode.fromNumber(number).map(ExplainCommand::explain);
        return error.or(() -> EventCatalogue.load().explain(number))
                .orElseThrow(
                        () ->
                                CommandException.usage(
                                        "There is no error or event " + number + ".",
                                        "Errors have four digits, log events three."));
    }

    private static CommandResult explain(ErrorCode code) {
        ObjectNode json =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("code", code.number())
                        .put("kind", code.name())
                        .put("http_status", code.httpStatus())
                        .put("outcome", code.outcome().headerValue())
                        .put("remedy", code.remedy());
        String effect =
                switch (code.outcome()) {
                    case NOT_RUN -> "The requested operation was not performed.";
                    case UNKNOWN -> "The requested operation may have been performed.";
                    case ANSWERED -> "The requested operation was performed.";
                };
        List<String> lines = new ArrayList<>();
        lines.add("Error " + code.number() + " " + code.name());
        lines.add("  " + effect);
        if (code.number() < FIRST_OPERATOR_ERROR) {
            lines.add("  Callers see HTTP status " + code.httpStatus() + ".");
        }
        lines.add("  " + code.remedy());
        return new CommandResult(ExitStatus.OK, lines, json);
    }
}
