package org.dogwoodwood.node.ingress;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.configuration.ServiceDefinition;
import org.dogwoodwood.core.model.HeaderField;

/**
 * What the head of a caller's request and the configuration say of a call.
 *
 * @param service the service that the call is for
 * @param callClass the class or tenant of the caller
 * @param key the caller's {@code Idempotency-Key}, if it gave one
 * @param depth how many services the call has passed through
 * @param timeoutMillis the time until the answer is due, in milliseconds
 * @param objectiveMillis the time for which the answer keeps its full value, in milliseconds
 * @param idempotent whether the call may run more than once
 * @param maxAttempts the most targets that the call may be sent to
 * @param path the path and query that the target receives
 * @param headers the header fields that the target receives
 * @param requestId the caller's own id of the request; empty if it gave none
 */
public record CallTerms(
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
        String requestId) {

    /** Checks that the references are present and copies the list. */
    public CallTerms {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(callClass, "callClass");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(path, "path");
        headers = List.copyOf(headers);
        Objects.requireNonNull(requestId, "requestId");
    }
}
