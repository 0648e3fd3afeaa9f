package org.dogwoodwood.core.configuration;

import java.util.List;

/**
 * A path prefix of a host, the services that serve it, and the settings of its calls.
 *
 * @param name the name
 * @param host the value of the {@code Host} header, without the port
 * @param pathPrefix the prefix of the path of its calls; if several match, the longest is used
 * @param shares the services that the calls are distributed to
 * @param execution how often a call may run
 * @param timeoutMillis the maximum time that a call waits for its answer, in milliseconds
 * @param targetLatencyMillis the time within which an answer has its full value, in milliseconds
 * @param callClass the name of the class that the calls belong to
 * @param maxAttempts the maximum number of targets that one call may be sent to
 * @param publicAccess whether its calls need no key of an account
 */
public record RouteDefinition(
        String name,
        String host,
        String pathPrefix,
        List<ServiceShare> shares,
        Execution execution,
        int timeoutMillis,
        int targetLatencyMillis,
        String callClass,
        int maxAttempts,
        boolean publicAccess)
        implements ConfigurationObject {

    public static final int DEFAULT_TARGET_LATENCY_MILLIS = 500;
    public static final int DEFAULT_MAX_ATTEMPTS = 3;

    /** Copies the shares. */
    public RouteDefinition {
        shares = List.copyOf(shares);
    }

    /** Creates a route whose calls need a key if there are accounts. */
    public RouteDefinition(
            String name,
            String host,
            String pathPrefix,
            List<ServiceShare> shares,
            Execution execution,
            int timeoutMillis,
            int targetLatencyMillis,
            String callClass,
            int maxAttempts) {
        this(
                name,
                host,
                pathPrefix,
                shares,
                execution,
                timeoutMillis,
                targetLatencyMillis,
                callClass,
                maxAttempts,
                false);
    }
}
