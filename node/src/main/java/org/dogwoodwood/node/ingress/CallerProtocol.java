package org.dogwoodwood.node.ingress;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServerRequest;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.model.TargetAnswer;

/**
 * Reads callers' HTTP requests and writes the results of their calls; used on the traffic loop
 * only.
 */
public interface CallerProtocol {

    /**
     * Reads the head of a request.
     *
     * @param head the head, not null
     * @param configuration the configuration in force, not null
     * @return the parameters of the call
     * @throws DogwoodwoodException if the request is invalid or matches no service
     */
    CallParameters readHead(RequestHead head, Configuration configuration);

    /** Writes the complete answer of a target; has no effect if the caller has disconnected. */
    void writeAnswer(HttpServerRequest request, TargetAnswer answer);

    /**
     * Writes an error answer of the node itself; has no effect if the caller has disconnected.
     *
     * @param request the request, not null
     * @param code the reason why there is no answer of a target, not null
     * @param detail what happened, without the remedy
     * @return a future that completes when the answer is written
     */
    Future<Void> writeError(HttpServerRequest request, ErrorCode code, String detail);

    /**
     * Writes an error answer of the node itself that tells the caller when to send the request
     * again; has no effect if the caller has disconnected.
     *
     * @param request the request, not null
     * @param code the reason why there is no answer of a target, not null
     * @param detail what happened, without the remedy
     * @param retryAfterSeconds the value of the {@code Retry-After} field
     * @return a future that completes when the answer is written
     */
    Future<Void> writeError(
            HttpServerRequest request, ErrorCode code, String detail, String retryAfterSeconds);
}
