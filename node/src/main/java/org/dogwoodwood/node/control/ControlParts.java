package org.dogwoodwood.node.control;

import io.vertx.core.Vertx;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * What a control plane is made of beside its settings.
 *
 * @param log creates the platform log
 * @param configuration creates the source of configurations; empty for the publications on the
 *     platform log
 * @param times the times of the control plane
 * @param keyedCalls whether calls with an {@code Idempotency-Key} run only at the owner of their
 *     key; membership then has to agree on owners, by leases and records of removals
 */
public record ControlParts(
        Function<Vertx, PlatformLog> log,
        Optional<BiFunction<Vertx, ConfigurationSource.Listener, ConfigurationSource>>
                configuration,
        ControlTimes times,
        boolean keyedCalls) {

    /** Checks that the references are present. */
    public ControlParts {
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(configuration, "configuration");
        Objects.requireNonNull(times, "times");
    }

    /** Returns the parts of the product's own log protocol for the given settings. */
    static ControlParts of(ControlSettings settings) {
        return new ControlParts(
                vertx ->
                        settings.logAddress()
                                .<PlatformLog>map(
                                        address ->
                                                HttpPlatformLog.create(
                                                        vertx, address.host(), address.port()))
                                .orElseGet(AbsentPlatformLog::new),
                Optional.empty(),
                settings.times(),
                true);
    }
}
