package org.dogwoodwood.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.UUID;
import joptsimple.OptionParser;
import org.dogwoodwood.cli.Command;
import org.dogwoodwood.cli.CommandException;
import org.dogwoodwood.cli.CommandResult;
import org.dogwoodwood.cli.ExitStatus;
import org.dogwoodwood.cli.Invocation;
import org.dogwoodwood.cli.http.HttpResponse;
import org.dogwoodwood.cli.node.Cluster;
import org.dogwoodwood.cli.node.NodeStatus;
import org.dogwoodwood.codec.configuration.EditDistanceSuggestions;
import org.dogwoodwood.core.ErrorCode;

/** Takes a data centre out of service, or returns it; works without the platform log. */
public final class DataCentreCommand implements Command {

    private static final String RETURN = "return";

    private DataCentreCommand() {}

    /** Returns the command. */
    public static DataCentreCommand create() {
        return new DataCentreCommand();
    }

    @Override
    public String name() {
        return "data-centre";
    }

    @Override
    public String operands() {
        return "out|return NAME";
    }

    @Override
    public String summary() {
        return "Take a data centre out of service, or return it.";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts("wait", "wait until the order is in force on all nodes")
                .withRequiredArg()
                .ofType(Integer.class)
                .describedAs("SECONDS");
    }

    @Override
    public CommandResult run(Invocation invocation) {
        List<String> operands = invocation.operands("'out' or 'return'", "NAME");
        invocation.waitOption();
        String state = requestedState(operands.get(0));
        String dataCentre = operands.get(1);
        Cluster cluster = Cluster.of(invocation.http(), invocation.settings());
        requireKnownDataCentre(cluster, dataCentre);
        JsonNode order = sendOrder(cluster, dataCentre, state);
        String inForce = order.path("state").asText(state);
        List<String> lines = new ArrayList<>();
        ObjectNode json =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("data_centre", dataCentre)
                        .put("state", inForce)
                        .put("order_id", order.path("order_id").asText());
        if (!inForce.equals(state)) {
            lines.add(
                    "error "
                            + ErrorCode.ORDER_REFUSED.number()
                            + ": Another order came at the same time: "
                            + dataCentre
                            + " is "
                            + inForce
                            + ".");
            return new CommandResult(ExitStatus.CONFLICT, lines, json);
        }
        lines.add(
                state.equals(NodeStatus.OUT)
                        ? dataCentre + " is being taken out of service."
                        : dataCentre + " is being returned to service.");
        return invocation.waitOption().isZero()
                ? new CommandResult(ExitStatus.OK, lines, json)
                : awaitInForce(invocation, cluster, dataCentre, lines, json);
    }

    private static String requestedState(String action) {
        return switch (action) {
            case "out" -> NodeStatus.OUT;
            case RETURN -> NodeStatus.IN;
            default ->
                    throw CommandException.usage(
                            "'" + action + "' is not an action.", "Use 'out' or 'return'.");
        };
    }

    /**
     * Rejects unknown names. Nodes would accept a misspelt one, since a new data centre can appear
     * at any time.
     */
    private static void requireKnownDataCentre(Cluster cluster, String dataCentre) {
        Cluster.Snapshot snapshot = cluster.snapshot();
        Set<String> known = new TreeSet<>();
        snapshot.members().values().forEach(member -> known.add(member.dataCentre()));
        snapshot.statuses()
                .forEach(
                        status -> {
                            known.add(status.dataCentre());
                            known.addAll(status.dataCentreStates().keySet());
                        });
        JsonNode configured =
                cluster.getFromAny("/configuration").json().at("/document/data_centres");
        configured.fieldNames().forEachRemaining(known::add);
        if (!known.contains(dataCentre)) {
            throw CommandException.usage(
                    "There is no data centre '" + dataCentre + "'.",
                    EditDistanceSuggestions.create()
                            .closest(dataCentre, known)
                            .map(name -> "Did you mean '" + name + "'?")
                            .orElse("Use one of " + String.join(", ", known) + "."));
        }
    }

    private static JsonNode sendOrder(Cluster cluster, String dataCentre, String state) {
        String body =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("state", state)
                        .put("order_id", UUID.randomUUID().toString())
                        .toString();
        String path = "/data-centres/" + URLEncoder.encode(dataCentre, StandardCharsets.UTF_8);
        HttpResponse response = cluster.postToAny(path, body);
        if (response.status() >= 300) {
            throw CommandException.of(
                    ExitStatus.USAGE,
                    ErrorCode.ORDER_REFUSED,
                    "The node refused the order: "
                            + response.json().path("message").asText("HTTP " + response.status()));
        }
        return response.json();
    }

    private static CommandResult awaitInForce(
            Invocation invocation,
            Cluster cluster,
            String dataCentre,
            List<String> lines,
            ObjectNode json) {
        String state = json.get("state").asText();
        long start = System.nanoTime();
        List<Cluster.UnmetCondition> unmetConditions =
                cluster.await(
                        invocation.waitOption(),
                        status ->
                                status.stateOf(dataCentre).equals(state)
                                        ? Optional.empty()
                                        : Optional.of(
                                                "The state of "
                                                        + dataCentre
                                                        + " is '"
                                                        + status.stateOf(dataCentre)
                                                        + "'."));
        return WaitReport.of(
                cluster.snapshot(), unmetConditions, System.nanoTime() - start, lines, json);
    }
}
