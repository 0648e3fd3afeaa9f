package org.dogwoodwood.soak;

/** What the requests of a {@link SteadyClient} have in common. */
interface SteadyRequest {

    /** Returns the path of a request with an id. */
    String path(String id);

    /** Returns the method. */
    default String method() {
        return "GET";
    }

    /** Returns the host that leads to a service; by default that of requests that may repeat. */
    default String host(String service) {
        return "read." + service;
    }
}
