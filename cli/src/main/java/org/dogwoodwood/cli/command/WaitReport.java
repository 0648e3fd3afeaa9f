package org.dogwoodwood.cli.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.dogwoodwood.cli.CommandResult;
import org.dogwoodwood.cli.ExitStatus;
import org.dogwoodwood.cli.node.Cluster;

/** Formats the result of waiting for a change to be in force. */
final class WaitReport {

    private static final double MILLIS_PER_SECOND = 1_000;

    private WaitReport() {}

    static CommandResult of(
            Cluster.Snapshot snapshot,
            List<Cluster.UnmetCondition> unmetConditions,
            long waitedNanos,
            List<String> precedingLines,
            ObjectNode json) {
        List<String> lines = new ArrayList<>(precedingLines);
        NotInForceReport.addTo(json, unmetConditions);
        ArrayNode notQueried = json.putArray("not_asked");
        snapshot.notQueried().forEach(notQueried::add);
        double seconds = Duration.ofNanos(waitedNanos).toMillis() / MILLIS_PER_SECOND;
        json.put("waited_seconds", seconds);
        if (unmetConditions.isEmpty()) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "In force on all %d nodes asked, after %.1f s.",
                            snapshot.replies().size(),
                            seconds));
        } else {
            lines.addAll(NotInForceReport.lines(unmetConditions));
        }
        if (!snapshot.notQueried().isEmpty()) {
            lines.add(
                    "Not asked, since their admin address is not known: "
                            + String.join(", ", snapshot.notQueried())
                            + ".");
        }
        return new CommandResult(
                unmetConditions.isEmpty() ? ExitStatus.OK : ExitStatus.NOT_IN_FORCE, lines, json);
    }
}
