package org.dogwoodwood.node.control;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.core.configuration.AcceptedConfiguration;
import org.dogwoodwood.core.membership.DataCentreOrder;
import org.dogwoodwood.core.membership.DataCentreOrders;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.membership.MemberState;
import org.dogwoodwood.core.membership.MembershipTable;

/** Builds the JSON answers of the admin port about control state; used on the control thread. */
final class ControlReport {

    private static final int MAX_MEMBERS = 1_000;

    private final ControlSettings settings;
    private final MembershipTable table;
    private final DataCentreOrders orders;
    private final ConfigurationManager configurationManager;
    private final ConfigurationSource configurationReader;
    private final LogReader membershipReader;
    private final LogAppender appender;
    private final boolean ready;

    ControlReport(
            ControlSettings settings,
            MembershipTable table,
            DataCentreOrders orders,
            ConfigurationManager configurationManager,
            ConfigurationSource configurationReader,
            LogReader membershipReader,
            LogAppender appender,
            boolean ready) {
        this.settings = settings;
        this.table = table;
        this.orders = orders;
        this.configurationManager = configurationManager;
        this.configurationReader = configurationReader;
        this.membershipReader = membershipReader;
        this.appender = appender;
        this.ready = ready;
    }

    /** Returns the answer to {@code GET /status}. */
    JsonObject status() {
        JsonArray ordersInForce = new JsonArray();
        orders.all().forEach(order -> ordersInForce.add(toJson(order)));
        JsonArray members = new JsonArray();
        Map<MemberState, Integer> counts = new EnumMap<>(MemberState.class);
        for (Member member : table.members()) {
            counts.merge(member.state(), 1, Integer::sum);
            // A full-scale list would take megabytes; the counts cover all members.
            if (members.size() < MAX_MEMBERS) {
                members.add(toJson(member));
            }
        }
        JsonObject countsJson = new JsonObject();
        counts.forEach((state, count) -> countsJson.put(lowerCase(state), count));
        AcceptedConfiguration inForce = configurationManager.ledger().inForce();
        return new JsonObject()
                .put("node", settings.node().value())
                .put("incarnation", table.self().incarnation())
                .put("data_centre", settings.address().dataCentre())
                .put("ready", ready)
                .put("isolated", table.isIsolated(System.nanoTime()))
                .put("configuration_version", inForce.version())
                .put("configuration_hash", Long.toHexString(configurationManager.hash()))
                .put("data_centres", ordersInForce)
                .put("member_counts", countsJson)
                .put("members", members)
                .put("log", logState());
    }

    /** Returns the answer to {@code GET /configuration}. */
    JsonObject configuration(Optional<String> publicationId) {
        AcceptedConfiguration inForce = configurationManager.ledger().inForce();
        JsonObject answer =
                new JsonObject()
                        .put("version", inForce.version())
                        .put("publication_id", inForce.publicationId())
                        .put("log_state_known", configurationManager.ledger().isLogStateKnown());
        if (!inForce.document().isEmpty()) {
            answer.put("document", new JsonObject(inForce.document()));
        }
        publicationId.ifPresent(id -> answer.put("publication", outcomeOf(id)));
        return answer;
    }

    static JsonObject toJson(DataCentreOrder order) {
        return new JsonObject()
                .put("name", order.dataCentre())
                .put("state", lowerCase(order.state()))
                .put("counter", order.counter())
                .put("order_id", order.orderId());
    }

    private JsonObject outcomeOf(String publicationId) {
        return configurationManager
                .ledger()
                .outcome(publicationId)
                .map(
                        outcome ->
                                new JsonObject()
                                        .put("id", publicationId)
                                        .put("state", outcome.accepted() ? "accepted" : "rejected")
                                        .put("version", outcome.version())
                                        .put("reason", outcome.reason()))
                .orElseGet(() -> new JsonObject().put("id", publicationId).put("state", "pending"));
    }

    private JsonObject toJson(Member member) {
        return new JsonObject()
                .put("node", member.node().value())
                .put("incarnation", member.incarnation())
                .put("version", member.version())
                .put("state", lowerCase(member.state()))
                .put("service", member.target().service())
                .put("target_state", lowerCase(member.target().state()))
                .put("data_centre", member.address().dataCentre())
                .put("data_centre_out", orders.isOut(member.address().dataCentre()))
                .put("host", member.address().host())
                .put("peer_port", member.address().peerPort())
                .put("http_port", member.address().httpPort());
    }

    private JsonObject logState() {
        return new JsonObject()
                .put("reachable", configurationReader.isReachable())
                .put("caught_up", configurationReader.isCaughtUp() && membershipReader.isCaughtUp())
                .put("configuration_offset", configurationReader.nextOffset())
                .put("membership_offset", membershipReader.nextOffset())
                .put("appended", appender.appendCount());
    }

    private static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
