package org.dogwoodwood.node.admin;

import io.vertx.core.Future;

/** Handles the requests of one route. */
@FunctionalInterface
public interface AdminHandler {

    /**
     * Handles a request; called on the event loop of the admin server.
     *
     * @param request the request, not null
     * @return the response; may be completed on any thread
     */
    Future<AdminResponse> handle(AdminRequest request);
}
