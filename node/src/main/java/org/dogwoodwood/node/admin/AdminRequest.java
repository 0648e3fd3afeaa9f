package org.dogwoodwood.node.admin;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A request to the admin port.
 *
 * @param method the HTTP method
 * @param path the path without the query
 * @param pathValue the value of the path variable of the route, empty if the route has none
 * @param query the query parameters; the first value of each repeated parameter
 * @param body the whole body, empty if there is none
 */
public record AdminRequest(
        String method,
        String path,
        Optional<String> pathValue,
        Map<String, String> query,
        String body) {

    /** Checks that the references are present and copies the map. */
    public AdminRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(pathValue, "pathValue");
        query = Map.copyOf(query);
        Objects.requireNonNull(body, "body");
    }

    /** Returns the value of a query parameter, empty if it is missing. */
    public Optional<String> queryValue(String name) {
        return Optional.ofNullable(query.get(name));
    }
}
