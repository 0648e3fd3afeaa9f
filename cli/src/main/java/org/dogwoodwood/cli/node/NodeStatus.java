package org.dogwoodwood.cli.node;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A node's response to {@code GET /status}.
 *
 * @param node its name
 * @param dataCentre its data centre
 * @param ready whether it accepts calls
 * @param isolated whether it has lost contact with all its peers
 * @param version the version of the configuration that it has in force
 * @param dataCentreStates the last order about each data centre, {@code "out"} or {@code "in"}
 * @param members the members that it knows, including itself
 * @param logReachable whether it can read the platform log
 */
public record NodeStatus(
        String node,
        String dataCentre,
        boolean ready,
        boolean isolated,
        long version,
        Map<String, String> dataCentreStates,
        List<MemberStatus> members,
        boolean logReachable) {

    /** The state of a data centre that was taken out. */
    public static final String OUT = "out";

    /** The state of a data centre that is in service. */
    public static final String IN = "in";

    /** Copies the collections. */
    public NodeStatus {
        dataCentreStates = Map.copyOf(dataCentreStates);
        members = List.copyOf(members);
    }

    static NodeStatus from(JsonNode json) {
        Map<String, String> states = new LinkedHashMap<>();
        json.path("data_centres")
                .forEach(
                        order ->
                                states.put(
                                        order.path("name").asText(), order.path("state").asText()));
        List<MemberStatus> members = new ArrayList<>();
        json.path("members").forEach(member -> members.add(MemberStatus.from(member)));
        return new NodeStatus(
                json.path("node").asText(),
                json.path("data_centre").asText(),
                json.path("ready").asBoolean(),
                json.path("isolated").asBoolean(),
                json.path("configuration_version").asLong(),
                states,
                members,
                json.path("log").path("reachable").asBoolean());
    }

    /** Returns the state of a data centre; without an order it is in service. */
    public String stateOf(String name) {
        return dataCentreStates.getOrDefault(name, IN);
    }
}
