package org.dogwoodwood.node.ingress;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.configuration.ServiceDefinition;
import org.dogwoodwood.core.model.HeaderField;

/**
 * The parameters of a call, from the head of the caller's request and the configuration.
 *
 * @param service the service that the call is for
 * @param callClass the class of the call
 * @param key the caller's {@code Idempotency-Key}, if any
 * @param depth the number of services that the call has passed through
 * @param timeoutMillis the time until the answer is due, in milliseconds
 * @param objectiveMillis the time for which the answer keeps its full value, in milliseconds
 * @param idempotent whether the call may run more than once
 * @param maxAttempts the maximum number of targets that may receive the call
 * @param path the path and query that the target receives
 * @param headers the header fields that the target receives
 * @param account the name of the client account of the caller, if it has one
 * @param requestId the caller's id of the request; empty if there is none
 */
public record CallParameters(
        ServiceDefinition service,
        String callClass,
        Optional<String> key,
        int depth,
        long timeoutMillis,
        long objectiveMillis,
        boolean idempotent,
        int maxAttempts,
        String path,
        List<HeaderField> headers,
        Optional<String> account,
        String requestId) {

    /** Rejects null references and copies the header fields. */
    public CallParameters {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(callClass, "callClass");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(path, "path");
        headers = List.copyOf(headers);
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(requestId, "requestId");
    }
}
