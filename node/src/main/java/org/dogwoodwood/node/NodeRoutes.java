package org.dogwoodwood.node;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.node.admin.AdminRequest;
import org.dogwoodwood.node.admin.AdminResponse;
import org.dogwoodwood.node.admin.AdminRouter;
import org.dogwoodwood.node.control.ControlPlane;
import org.dogwoodwood.node.guard.TargetAnnouncement;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.settings.Endpoint;

/** Registers the routes of the admin port for health, readiness, metrics and the target. */
final class NodeRoutes {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private NodeRoutes() {}

    static void add(
            AdminRouter router,
            Function<TargetAnnouncement, Future<Void>> targets,
            ControlPlane control,
            NodeMetrics metrics,
            BooleanSupplier leaving) {
        router.add("GET", "/health", request -> text(OK, "ok\n"));
        router.add(
                "GET",
                "/ready",
                request -> {
                    boolean ready = control.isReady() && !leaving.getAsBoolean();
                    return ready ? text(OK, "ready\n") : text(UNAVAILABLE, "not ready\n");
                });
        router.add(
                "GET",
                "/metrics",
                request ->
                        Future.succeededFuture(
                                new AdminResponse(OK, METRICS_TYPE, metrics.prometheusText())));
        router.add(
                "POST",
                "/targets",
                request ->
                        targets.apply(parse(request)).map(ignored -> AdminResponse.json(OK, "{}")));
    }

    private static Future<AdminResponse> text(int status, String body) {
        return Future.succeededFuture(AdminResponse.text(status, body));
    }

    private static TargetAnnouncement parse(AdminRequest request) {
        try {
            return MAPPER.readValue(request.body(), Announcement.class).toAnnouncement();
        } catch (JsonProcessingException e) {
            throw new DogwoodwoodException(
                    ErrorCode.BAD_REQUEST,
                    "The announcement cannot be read: " + e.getOriginalMessage(),
                    e);
        } catch (IllegalArgumentException e) {
            throw new DogwoodwoodException(ErrorCode.BAD_REQUEST, e.getMessage(), e);
        }
    }

    /** The JSON body of an announcement; cold_slots, cold and draining are optional. */
    private record Announcement(
            @JsonProperty("service") String service,
            @JsonProperty("address") String address,
            @JsonProperty("slots") int slots,
            @JsonProperty("connections") int connections,
            @JsonProperty("cold_slots") Integer coldSlots,
            @JsonProperty("cold") Boolean cold,
            @JsonProperty("draining") Boolean draining) {

        TargetAnnouncement toAnnouncement() {
            if (service == null || address == null) {
                throw new IllegalArgumentException(
                        "An announcement needs service, address, slots and connections.");
            }
            return new TargetAnnouncement(
                    service,
                    Endpoint.parse(address),
                    slots,
                    connections,
                    coldSlots == null ? 1 : coldSlots,
                    cold == null || cold,
                    draining != null && draining);
        }
    }
}
