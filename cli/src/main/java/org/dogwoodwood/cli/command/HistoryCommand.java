package org.dogwoodwood.cli.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.dogwoodwood.cli.Command;
import org.dogwoodwood.cli.CommandResult;
import org.dogwoodwood.cli.ExitStatus;
import org.dogwoodwood.cli.Invocation;
import org.dogwoodwood.cli.log.ConfigurationLog;
import org.dogwoodwood.cli.log.HistoryEntry;
import org.dogwoodwood.cli.support.TextTable;
import org.dogwoodwood.core.configuration.PublicationOutcome;

/** Lists the publications that the log retains. */
public final class HistoryCommand implements Command {

    private HistoryCommand() {}

    /** Returns the command. */
    public static HistoryCommand create() {
        return new HistoryCommand();
    }

    @Override
    public String name() {
        return "history";
    }

    @Override
    public String operands() {
        return "";
    }

    @Override
    public String summary() {
        return "List publications and what became of them.";
    }

    @Override
    public CommandResult run(Invocation invocation) {
        invocation.operands();
        List<HistoryEntry> entries =
                ConfigurationLog.open(invocation.http(), invocation.settings()).history().entries();
        TextTable table = TextTable.withHeader("TIME", "BASE", "RESULT", "PUBLICATION");
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode list = json.putArray("publications");
        for (HistoryEntry entry : entries) {
            table.addRow(
                    entry.time().toString(),
                    Long.toString(entry.baseVersion()),
                    entry.outcome().map(HistoryCommand::result).orElse("not known"),
                    entry.publicationId());
            ObjectNode item = list.addObject();
            item.put("time", entry.time().toString())
                    .put("base_version", entry.baseVersion())
                    .put("publication_id", entry.publicationId());
            entry.outcome()
                    .ifPresent(
                            outcome ->
                                    item.put("accepted", outcome.accepted())
                                            .put("version", outcome.version())
                                            .put("reason", outcome.reason()));
        }
        List<String> lines = new ArrayList<>(table.lines());
        if (entries.isEmpty()) {
            lines = List.of("The log holds no publication.");
        }
        return new CommandResult(ExitStatus.OK, lines, json);
    }

    private static String result(PublicationOutcome outcome) {
        return outcome.accepted()
                ? "version " + outcome.version()
                : "rejected, version " + outcome.version() + " was in force";
    }
}
