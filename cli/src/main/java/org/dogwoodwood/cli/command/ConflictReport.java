package org.dogwoodwood.cli.command;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.cli.CommandResult;
import org.dogwoodwood.cli.ExitStatus;
import org.dogwoodwood.cli.log.ConfigurationHistory;
import org.dogwoodwood.cli.log.HistoryEntry;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.ConfigurationChange;
import org.dogwoodwood.core.configuration.PublicationOutcome;

/**
 * Reports a rejected publication and the changes that others have published since its base version.
 */
final class ConflictReport {

    private static final ErrorCode CODE = ErrorCode.PUBLICATION_CONFLICT;

    private ConflictReport() {}

    /** Returns the report for files that were edited from a version no longer in force. */
    static CommandResult outdatedBase(
            ConfigurationHistory history, long base, Configuration proposed) {
        long version = history.inForce().version();
        String message =
                "Version "
                        + version
                        + " is in force, but the files were edited from version "
                        + base
                        + ". Nothing was published.";
        return report(history, base, proposed, message);
    }

    /** Returns the report for a publication that lost against a concurrent one. */
    static CommandResult rejected(
            ConfigurationHistory history, PublicationOutcome outcome, Configuration proposed) {
        long base =
                history.entries().stream()
                        .filter(entry -> entry.publicationId().equals(outcome.publicationId()))
                        .findFirst()
                        .map(HistoryEntry::baseVersion)
                        .orElse(outcome.version());
        String message =
                "Another publication came first. " + outcome.reason() + " Nothing was published.";
        return report(history, base, proposed, message);
    }

    private static CommandResult report(
            ConfigurationHistory history, long base, Configuration proposed, String message) {
        Configuration inForce = history.inForce();
        String remedy =
                "Merge the changes into the files, then publish with --base "
                        + inForce.version()
                        + ".";
        List<String> lines = new ArrayList<>();
        lines.add("error " + CODE.number() + ": " + message);
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.putObject("error")
                .put("code", CODE.number())
                .put("kind", CODE.name())
                .put("message", message)
                .put("remedy", remedy);
        json.put("base_version", base).put("version", inForce.version());
        Optional<Configuration> old = history.version(base);
        if (old.isPresent()) {
            List<ConfigurationChange> changes = ConfigurationChange.between(old.get(), inForce);
            lines.add("Changed by others since version " + base + ":");
            lines.addAll(ChangeReport.lines(changes));
            ChangeReport.addTo(json, "changed_since_base", changes);
        }
        List<ConfigurationChange> own = ConfigurationChange.between(inForce, proposed);
        lines.add("Your files would change version " + inForce.version() + ":");
        lines.addAll(ChangeReport.lines(own));
        ChangeReport.addTo(json, "changes", own);
        lines.add("  " + remedy);
        return new CommandResult(ExitStatus.CONFLICT, lines, json);
    }
}
