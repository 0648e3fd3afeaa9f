package org.dogwoodwood.core.configuration;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.core.OrderedCopies;

/**
 * A service that callers can call.
 *
 * @param name the name
 * @param hosts additional values of the {@code Host} header that select the service
 * @param policy the name of its policy
 * @param dataCentres the names of the data centres that it may run in
 * @param callClasses the names of the classes that may call it
 * @param timeoutMillis the timeout of a call that does not specify one, in milliseconds
 * @param idempotentMethods the HTTP methods whose calls may run more than once
 * @param keyWindowSeconds how long an {@code Idempotency-Key} is retained, in seconds
 * @param maxRequestBytes the maximum size of a request body, in bytes
 * @param maxAnswerBytes the maximum size of an answer body, in bytes
 * @param healthPath the path at which targets report their health
 */
public record ServiceDefinition(
        String name,
        List<String> hosts,
        String policy,
        List<String> dataCentres,
        List<String> callClasses,
        int timeoutMillis,
        Set<String> idempotentMethods,
        int keyWindowSeconds,
        int maxRequestBytes,
        int maxAnswerBytes,
        String healthPath)
        implements ConfigurationObject {

    /** The HTTP methods that RFC 9110, section 9.2.2, defines as idempotent. */
    public static final Set<String> IDEMPOTENT_METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

    public static final int DEFAULT_TIMEOUT_MILLIS = 2_000;
    public static final int DEFAULT_KEY_WINDOW_SECONDS = 120;
    public static final int DEFAULT_MAX_REQUEST_BYTES = 1 << 20;
    public static final int DEFAULT_MAX_ANSWER_BYTES = 4 << 20;
    public static final String DEFAULT_HEALTH_PATH = "/health";

    /** Copies the collections. */
    public ServiceDefinition {
        hosts = List.copyOf(hosts);
        dataCentres = List.copyOf(dataCentres);
        callClasses = List.copyOf(callClasses);
        idempotentMethods = OrderedCopies.copyOf(idempotentMethods);
    }

    /** Creates a service with the default health path. */
    public ServiceDefinition(
            String name,
            List<String> hosts,
            String policy,
            List<String> dataCentres,
            List<String> callClasses,
            int timeoutMillis,
            Set<String> idempotentMethods,
            int keyWindowSeconds,
            int maxRequestBytes,
            int maxAnswerBytes) {
        this(
                name,
                hosts,
                policy,
                dataCentres,
                callClasses,
                timeoutMillis,
                idempotentMethods,
                keyWindowSeconds,
                maxRequestBytes,
                maxAnswerBytes,
                DEFAULT_HEALTH_PATH);
    }

    /** Returns whether a call with the given HTTP method may run more than once. */
    public boolean isIdempotent(String method) {
        return idempotentMethods.contains(method);
    }

    /** Returns the first data centre of the service, or empty if it has none. */
    public Optional<String> firstDataCentre() {
        return dataCentres.stream().findFirst();
    }
}
