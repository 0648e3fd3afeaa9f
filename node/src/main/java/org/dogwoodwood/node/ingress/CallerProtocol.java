package org.dogwoodwood.node.ingress;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerRequest;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.model.TargetAnswer;

/** How callers state requests over HTTP and are told how they ended; used on the traffic loop. */
public interface CallerProtocol {

    /**
     * Reads the head of a request.
     *
     * @param head the head, not null
     * @param configuration the configuration in force, not null
     * @throws DogwoodwoodException if the request breaks a rule or names no service
     */
    CallTerms readHead(RequestHead head, Configuration configuration);

    /** Writes the whole answer of a target; has no effect if the caller has disconnected. */
    void writeAnswer(HttpServerRequest request, TargetAnswer answer);

    /**
     * Writes an answer of the system itself; has no effect if the caller has disconnected.
     *
     * @param request the request, not null
     * @param code why there is no answer of a target, not null
     * @param detail what happened, without the remedy
     * @return completes when the answer is written
     */
    Future<Void> writeError(HttpServerRequest request, ErrorCode code, String detail);
}
