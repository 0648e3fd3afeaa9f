package org.dogwoodwood.node.admin;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.dogwoodwood.core.ErrorCode;

/**
 * The routes of the admin port: exact paths, or paths whose last segment is a variable, such as
 * {@code /data-centres/{name}}. Routes may be added on any thread.
 */
public final class AdminRouter {

    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int NOT_FOUND = 404;

    private final List<Route> routes = new CopyOnWriteArrayList<>();

    private AdminRouter() {}

    /** Returns a router without routes. */
    public static AdminRouter create() {
        return new AdminRouter();
    }

    /**
     * Adds a route.
     *
     * @param method the HTTP method, such as {@code GET}
     * @param path the path, whose last segment may be a variable in braces
     * @param handler handles the requests of the route, not null
     */
    public void add(String method, String path, AdminHandler handler) {
        checkArgument(path.startsWith("/"), "A path must begin with a slash.");
        routes.add(Route.of(method, path, handler));
    }

    /** Returns the route of a request, or the error response if no route matches. */
    Match match(String method, String path) {
        boolean pathKnown = false;
        for (Route route : routes) {
            if (route.matches(path)) {
                pathKnown = true;
                if (route.method().equals(method)) {
                    return new Match(Optional.of(route), Optional.empty());
                }
            }
        }
        int status = pathKnown ? METHOD_NOT_ALLOWED : NOT_FOUND;
        String message =
                pathKnown ? "The path does not support this method." : "The path does not exist.";
        AdminResponse response =
                new AdminResponse(
                        status,
                        "application/json",
                        AdminResponse.error(ErrorCode.BAD_REQUEST, message).body());
        return new Match(Optional.empty(), Optional.of(response));
    }

    /** The result of a lookup; exactly one component is present. */
    record Match(Optional<Route> route, Optional<AdminResponse> errorResponse) {}

    /** A route; the prefix ends with a slash if and only if the last segment is a variable. */
    record Route(String method, String prefix, boolean hasValue, AdminHandler handler) {

        static Route of(String method, String path, AdminHandler handler) {
            int brace = path.indexOf('{');
            return brace < 0
                    ? new Route(method, path, false, handler)
                    : new Route(method, path.substring(0, brace), true, handler);
        }

        boolean matches(String path) {
            if (!hasValue) {
                return path.equals(prefix);
            }
            return path.length() > prefix.length()
                    && path.startsWith(prefix)
                    && path.indexOf('/', prefix.length()) < 0;
        }

        Optional<String> valueIn(String path) {
            return hasValue ? Optional.of(path.substring(prefix.length())) : Optional.empty();
        }
    }
}
