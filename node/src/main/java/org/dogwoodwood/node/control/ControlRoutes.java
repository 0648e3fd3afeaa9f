package org.dogwoodwood.node.control;

import io.vertx.core.Future;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.node.admin.AdminRequest;
import org.dogwoodwood.node.admin.AdminResponse;
import org.dogwoodwood.node.admin.AdminRouter;

/** Adds the routes of the control plane to the admin port. */
final class ControlRoutes {

    private static final int OK = 200;

    private ControlRoutes() {}

    static void add(AdminRouter router, ControlAdministration control) {
        router.add("GET", "/status", request -> control.status().map(ControlRoutes::toResponse));
        router.add(
                "GET",
                "/configuration",
                request ->
                        control.configuration(request.queryValue("publication_id"))
                                .map(ControlRoutes::toResponse));
        router.add(
                "POST",
                "/data-centres/{name}",
                request -> orderDataCentre(control, request).map(ControlRoutes::toResponse));
    }

    private static Future<JsonObject> orderDataCentre(
            ControlAdministration control, AdminRequest request) {
        JsonObject body;
        try {
            body = new JsonObject(request.body());
        } catch (DecodeException e) {
            throw new DogwoodwoodException(
                    ErrorCode.BAD_REQUEST, "The order is not a JSON object.", e);
        }
        return control.orderDataCentre(dataCentreName(request), body);
    }

    private static String dataCentreName(AdminRequest request) {
        return URLDecoder.decode(request.pathValue().orElseThrow(), StandardCharsets.UTF_8);
    }

    private static AdminResponse toResponse(JsonObject body) {
        return AdminResponse.json(OK, body.encode());
    }
}
