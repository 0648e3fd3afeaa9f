package org.dogwoodwood.cli.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.dogwoodwood.cli.CommandResult;
import org.dogwoodwood.cli.ExitStatus;
import org.dogwoodwood.core.configuration.ConfigurationProblem;

/** Formats the problems of a configuration. */
final class ProblemReport {

    private ProblemReport() {}

    static CommandResult of(List<ConfigurationProblem> problems) {
        List<String> lines = new ArrayList<>();
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode list = json.put("ok", false).putArray("problems");
        for (ConfigurationProblem problem : problems) {
            lines.add(
                    problem.location() + ": " + problem.code().number() + " " + problem.message());
            lines.add("  " + problem.remedy());
            list.addObject()
                    .put("code", problem.code().number())
                    .put("kind", problem.code().name())
                    .put("file", problem.location().file())
                    .put("line", problem.location().line())
                    .put("object", problem.location().object())
                    .put("key", problem.location().key())
                    .put("message", problem.message())
                    .put("remedy", problem.remedy());
        }
        lines.add(problems.size() + (problems.size() == 1 ? " problem." : " problems."));
        return new CommandResult(ExitStatus.PROBLEMS, lines, json);
    }
}
