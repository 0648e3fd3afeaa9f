package org.dogwoodwood.standins.caller;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.standins.support.Address;

/**
 * The options of the load generator.
 *
 * @param nodes the caller addresses of nodes, used in round-robin order
 * @param services the services that are called, in round-robin order
 * @param callClass the value of {@code Dogwoodwood-Class}
 * @param callsPerSecond the rate at which calls start, whether or not earlier ones have completed
 * @param seconds the duration for which calls are started, in seconds
 * @param nonIdempotentShare the share of calls that are POST with an idempotency key, from 0 to 1
 * @param minAnswerBytes the minimum size of an answer, in bytes
 * @param timeoutMillis the timeout of a call including its retries, in milliseconds
 * @param maxRetries the maximum number of retries of a call that was not run or has an idempotency
 *     key
 * @param seed the seed for the choice of HTTP methods
 * @param stopFile no more calls are started once this file exists
 */
public record LoadOptions(
        List<Address> nodes,
        List<String> services,
        String callClass,
        int callsPerSecond,
        int seconds,
        double nonIdempotentShare,
        int minAnswerBytes,
        int timeoutMillis,
        int maxRetries,
        long seed,
        Optional<Path> stopFile) {

    public static final int DEFAULT_CALLS_PER_SECOND = 100;
    public static final int DEFAULT_SECONDS = 5;
    public static final double DEFAULT_NON_IDEMPOTENT_SHARE = 0.2;
    public static final int DEFAULT_MIN_ANSWER_BYTES = 500;
    public static final int DEFAULT_TIMEOUT_MILLIS = 2_000;
    public static final int DEFAULT_MAX_RETRIES = 5;

    /** Copies the lists. */
    public LoadOptions {
        nodes = List.copyOf(nodes);
        services = List.copyOf(services);
    }

    /**
     * Returns options with the defaults for everything but the nodes, services, rate and duration.
     */
    public static LoadOptions of(
            List<Address> nodes, List<String> services, int callsPerSecond, int seconds) {
        return new LoadOptions(
                nodes,
                services,
                "default",
                callsPerSecond,
                seconds,
                DEFAULT_NON_IDEMPOTENT_SHARE,
                DEFAULT_MIN_ANSWER_BYTES,
                DEFAULT_TIMEOUT_MILLIS,
                DEFAULT_MAX_RETRIES,
                1,
                Optional.empty());
    }
}
