package org.dogwoodwood.cli.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.dogwoodwood.cli.node.Cluster;
import org.dogwoodwood.core.ErrorCode;

/** Formats the list of nodes on which a change is not in force. */
final class NotInForceReport {

    private NotInForceReport() {}

    static List<String> lines(List<Cluster.UnmetCondition> unmetConditions) {
        List<String> lines = new ArrayList<>();
        ErrorCode code = ErrorCode.NOT_IN_FORCE;
        lines.add("error " + code.number() + ": Not yet in force on:");
        unmetConditions.forEach(
                unmetCondition ->
                        lines.add("  " + unmetCondition.node() + ": " + unmetCondition.reason()));
        lines.add("  " + code.remedy());
        return lines;
    }

    static void addTo(ObjectNode json, List<Cluster.UnmetCondition> unmetConditions) {
        ArrayNode list = json.putArray("not_in_force");
        unmetConditions.forEach(
                unmetCondition ->
                        list.addObject()
                                .put("node", unmetCondition.node())
                                .put("reason", unmetCondition.reason()));
    }
}
