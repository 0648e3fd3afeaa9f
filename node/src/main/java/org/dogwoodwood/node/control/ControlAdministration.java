package org.dogwoodwood.node.control;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import java.util.Optional;

/**
 * The operations of the control plane for the admin port; may be called on any thread. A failed
 * future holds a {@link org.dogwoodwood.core.DogwoodwoodException} that states what is wrong with
 * the request.
 */
public interface ControlAdministration {

    /** Answers {@code GET /status}. */
    Future<JsonObject> status();

    /**
     * Answers {@code POST /data-centres/{name}}.
     *
     * @param dataCentre the name from the path, not null
     * @param body {@code {"state": "out"|"in", "order_id": "..."}}, not null
     * @return the order in force
     */
    Future<JsonObject> orderDataCentre(String dataCentre, JsonObject body);

    /**
     * Answers {@code GET /configuration}.
     *
     * @param publicationId the value of the query parameter {@code publication_id}, if there is one
     * @return the version, publication id and document in force, and the outcome of the publication
     *     ({@code "pending"} while this node has not read it)
     */
    Future<JsonObject> configuration(Optional<String> publicationId);
}
