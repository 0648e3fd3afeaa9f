package org.dogwoodwood.node.http;

/** Is told of responses that name another request than the one that waits on their connection. */
public interface ForeignResponseListener {

    /**
     * Called when such a response arrives.
     *
     * @param waitingId the id of the request that waits; empty if none does
     * @param connection the local port of the connection
     * @param status the HTTP status of the response
     * @param answeredId the id that the response names, not null
     */
    void onForeign(String waitingId, int connection, int status, String answeredId);
}
