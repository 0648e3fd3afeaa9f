package org.dogwoodwood.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.dogwoodwood.cli.Command;
import org.dogwoodwood.cli.CommandException;
import org.dogwoodwood.cli.CommandResult;
import org.dogwoodwood.cli.ExitStatus;
import org.dogwoodwood.cli.Invocation;
import org.dogwoodwood.cli.node.Cluster;
import org.dogwoodwood.cli.node.MemberStatus;
import org.dogwoodwood.cli.node.NodeReply;
import org.dogwoodwood.cli.node.NodeStatus;
import org.dogwoodwood.cli.support.TextTable;
import org.dogwoodwood.core.ErrorCode;

/** Shows nodes, data centres, services and targets. */
public final class StatusCommand implements Command {

    private StatusCommand() {}

    /** Returns the command. */
    public static StatusCommand create() {
        return new StatusCommand();
    }

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String operands() {
        return "";
    }

    @Override
    public String summary() {
        return "Show services, data centres, targets and the version in force on each node.";
    }

    @Override
    public CommandResult run(Invocation invocation) {
        invocation.operands();
        Cluster cluster = Cluster.of(invocation.http(), invocation.settings());
        Cluster.Snapshot snapshot = cluster.snapshot();
        if (snapshot.statuses().isEmpty()) {
            throw CommandException.of(
                    ExitStatus.UNREACHABLE,
                    ErrorCode.UNREACHABLE,
                    "No node answers. " + snapshot.replies().get(0).failure());
        }
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        List<String> lines = new ArrayList<>();
        addNodes(snapshot, lines, json);
        JsonNode document = cluster.getFromAny("/configuration").json().path("document");
        addDataCentres(snapshot, document, lines, json);
        addServices(snapshot, document, lines, json);
        addTargets(snapshot, lines, json);
        return new CommandResult(ExitStatus.OK, lines, json);
    }

    private static void addNodes(Cluster.Snapshot snapshot, List<String> lines, ObjectNode json) {
        TextTable table =
                TextTable.withHeader(
                        "NODE", "DATA CENTRE", "STATE", "VERSION", "LOG", "ADMIN ADDRESS");
        ArrayNode list = json.putArray("nodes");
        for (NodeReply reply : snapshot.replies()) {
            ObjectNode item = list.addObject().put("address", reply.address().toString());
            if (reply.status().isEmpty()) {
                table.addRow("-", "-", "no answer", "-", "-", reply.address().toString());
                item.put("failure", reply.failure());
                continue;
            }
            NodeStatus status = reply.status().get();
            String state = status.isolated() ? "isolated" : status.ready() ? "ready" : "not ready";
            table.addRow(
                    status.node(),
                    status.dataCentre(),
                    state,
                    Long.toString(status.version()),
                    status.logReachable() ? "reachable" : "down",
                    reply.address().toString());
            item.put("node", status.node())
                    .put("data_centre", status.dataCentre())
                    .put("state", state)
                    .put("version", status.version())
                    .put("log_reachable", status.logReachable());
        }
        lines.addAll(table.lines());
        Set<Long> versions = new TreeSet<>();
        snapshot.statuses().forEach(status -> versions.add(status.version()));
        if (versions.size() > 1) {
            lines.add("Nodes have different versions in force: " + versions + ".");
        }
    }

    private static void addDataCentres(
            Cluster.Snapshot snapshot, JsonNode document, List<String> lines, ObjectNode json) {
        Set<String> names = new TreeSet<>();
        document.path("data_centres").fieldNames().forEachRemaining(names::add);
        snapshot.members().values().forEach(member -> names.add(member.dataCentre()));
        snapshot.statuses().forEach(status -> names.addAll(status.dataCentreStates().keySet()));
        TextTable table = TextTable.withHeader("DATA CENTRE", "STATE", "READY TARGETS");
        ArrayNode list = json.putArray("data_centres");
        for (String name : names) {
            Set<String> states = new TreeSet<>();
            snapshot.statuses().forEach(status -> states.add(status.stateOf(name)));
            String state = String.join(" or ", states);
            long targets =
                    snapshot.members().values().stream()
                            .filter(member -> member.dataCentre().equals(name))
                            .filter(MemberStatus::isServing)
                            .count();
            table.addRow(name, state, Long.toString(targets));
            list.addObject().put("name", name).put("state", state).put("ready_targets", targets);
        }
        lines.add("");
        lines.addAll(table.lines());
    }

    private static void addServices(
            Cluster.Snapshot snapshot, JsonNode document, List<String> lines, ObjectNode json) {
        Map<String, List<MemberStatus>> byService = new TreeMap<>();
        document.path("services")
                .fieldNames()
                .forEachRemaining(name -> byService.put(name, new ArrayList<>()));
        for (MemberStatus member : snapshot.members().values()) {
            if (!member.service().isEmpty()) {
                byService.computeIfAbsent(member.service(), name -> new ArrayList<>()).add(member);
            }
        }
        TextTable table = TextTable.withHeader("SERVICE", "READY TARGETS", "ALL TARGETS");
        ArrayNode list = json.putArray("services");
        byService.forEach(
                (service, members) -> {
                    long serving = members.stream().filter(MemberStatus::isServing).count();
                    table.addRow(service, Long.toString(serving), Integer.toString(members.size()));
                    list.addObject()
                            .put("name", service)
                            .put("ready_targets", serving)
                            .put("targets", members.size());
                });
        lines.add("");
        lines.addAll(table.lines());
    }

    private static void addTargets(Cluster.Snapshot snapshot, List<String> lines, ObjectNode json) {
        TextTable table =
                TextTable.withHeader("TARGET OF NODE", "SERVICE", "DATA CENTRE", "NODE", "TARGET");
        ArrayNode list = json.putArray("targets");
        for (MemberStatus member : snapshot.members().values()) {
            table.addRow(
                    member.node(),
                    member.service(),
                    member.dataCentre(),
                    member.state(),
                    member.targetState());
            list.addObject()
                    .put("node", member.node())
                    .put("service", member.service())
                    .put("data_centre", member.dataCentre())
                    .put("node_state", member.state())
                    .put("target_state", member.targetState());
        }
        lines.add("");
        lines.addAll(table.lines());
    }
}
