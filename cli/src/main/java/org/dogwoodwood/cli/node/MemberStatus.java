package org.dogwoodwood.cli.node;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The status of a member, as reported by a node.
 *
 * @param node the name of the member
 * @param state its membership state, such as ready, suspect or dead
 * @param service the service of its target, empty if it has none
 * @param targetState the state of its target
 * @param dataCentre its data centre
 * @param dataCentreOut whether its data centre was taken out
 * @param host its IP address
 * @param httpPort its port for callers
 */
public record MemberStatus(
        String node,
        String state,
        String service,
        String targetState,
        String dataCentre,
        boolean dataCentreOut,
        String host,
        int httpPort) {

    static MemberStatus from(JsonNode json) {
        return new MemberStatus(
                json.path("node").asText(),
                json.path("state").asText(),
                json.path("service").asText(),
                json.path("target_state").asText(),
                json.path("data_centre").asText(),
                json.path("data_centre_out").asBoolean(),
                json.path("host").asText(),
                json.path("http_port").asInt());
    }

    /** Returns whether its target can be given calls, regardless of orders about data centres. */
    public boolean isServing() {
        return state.equals("ready") && (targetState.equals("warm") || targetState.equals("cold"));
    }

    public boolean isDeadOrLeaving() {
        return state.equals("dead") || state.equals("leaving");
    }
}
