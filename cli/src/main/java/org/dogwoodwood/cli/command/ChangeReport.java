package org.dogwoodwood.cli.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import org.dogwoodwood.core.configuration.ConfigurationChange;

/** Formats the differences between two configurations. */
final class ChangeReport {

    private ChangeReport() {}

    /** Returns one indented line for each change. */
    static List<String> lines(List<ConfigurationChange> changes) {
        return changes.stream().map(change -> "  " + change).toList();
    }

    /** Adds the changes to a JSON object. */
    static void addTo(ObjectNode json, String field, List<ConfigurationChange> changes) {
        ArrayNode list = json.putArray(field);
        for (ConfigurationChange change : changes) {
            list.addObject()
                    .put("type", change.type().name().toLowerCase(Locale.ROOT))
                    .put("object", change.object())
                    .put("key", change.key())
                    .put("before", change.before())
                    .put("after", change.after());
        }
    }
}
