package org.dogwoodwood.node.control;

import io.vertx.core.Vertx;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * The components of a control plane that depend on the platform.
 *
 * @param logFactory creates the platform log
 * @param configurationSourceFactory creates the source of configurations; empty for the
 *     publications on the platform log
 * @param timings the timings of the control plane
 * @param keyedCalls whether calls with an {@code Idempotency-Key} run only at the owner of their
 *     key; members then agree on owners by leases and removal records
 * @param leaves what the node's other parts see of the leaves of its targets
 */
public record ControlComponents(
        Function<Vertx, PlatformLog> logFactory,
        Optional<BiFunction<Vertx, ConfigurationSource.Listener, ConfigurationSource>>
                configurationSourceFactory,
        ControlTimings timings,
        boolean keyedCalls,
        ControlLeaveMemory leaves) {

    /** Checks that the references are present. */
    public ControlComponents {
        Objects.requireNonNull(logFactory, "logFactory");
        Objects.requireNonNull(configurationSourceFactory, "configurationSourceFactory");
        Objects.requireNonNull(timings, "timings");
        Objects.requireNonNull(leaves, "leaves");
    }

    /** Creates components of a node whose leaves of targets no other part uses. */
    public ControlComponents(
            Function<Vertx, PlatformLog> logFactory,
            Optional<BiFunction<Vertx, ConfigurationSource.Listener, ConfigurationSource>>
                    configurationSourceFactory,
            ControlTimings timings,
            boolean keyedCalls) {
        this(
                logFactory,
                configurationSourceFactory,
                timings,
                keyedCalls,
                ControlLeaveMemory.create());
    }

    /** Returns the components for the built-in log protocol and the given settings. */
    static ControlComponents of(ControlSettings settings) {
        return new ControlComponents(
                vertx ->
                        settings.logAddress()
                                .<PlatformLog>map(
                                        address ->
                                                HttpPlatformLog.create(
                                                        vertx, address.host(), address.port()))
                                .orElseGet(AbsentPlatformLog::new),
                Optional.empty(),
                settings.timings(),
                true);
    }
}
