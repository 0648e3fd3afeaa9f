package org.dogwoodwood.node.control;

import io.vertx.core.Vertx;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.routing.RoutingTable;

/** Builds the routing table after changes, at a limited rate; used on the control thread. */
final class RoutingTablePublisher {

    private static final long MIN_DELAY_MILLIS = 20;
    private static final long MAX_DELAY_MILLIS = 500;
    // Building a table of 23,000 members takes milliseconds. A delay of 20 times the last build
    // limits builds to 5 % of the time.
    private static final long DELAY_FACTOR = 20;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Vertx vertx;
    private final RoutingTableBuilder builder;
    private final Supplier<Configuration> configuration;
    private final CrashEvidence crashEvidence;
    private final Consumer<RoutingTable> receiver;
    private RoutingTable published = RoutingTable.empty();
    private boolean scheduled;
    private long lastBuildNanos;

    private RoutingTablePublisher(
            Vertx vertx,
            RoutingTableBuilder builder,
            Supplier<Configuration> configuration,
            CrashEvidence crashEvidence,
            Consumer<RoutingTable> receiver) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.builder = Objects.requireNonNull(builder, "builder");
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.crashEvidence = Objects.requireNonNull(crashEvidence, "crashEvidence");
        this.receiver = Objects.requireNonNull(receiver, "receiver");
    }

    /**
     * Returns a publisher that has published nothing.
     *
     * @param configuration returns the configuration that the node may use
     * @param receiver receives each table that differs from the one before
     */
    static RoutingTablePublisher create(
            Vertx vertx,
            RoutingTableBuilder builder,
            Supplier<Configuration> configuration,
            CrashEvidence crashEvidence,
            Consumer<RoutingTable> receiver) {
        return new RoutingTablePublisher(vertx, builder, configuration, crashEvidence, receiver);
    }

    /** Returns whether members, orders or leases have changed since the last table was built. */
    boolean isOutdated(long nowNanos) {
        return builder.isOutdated(nowNanos);
    }

    /** Publishes the table after a short delay, so that changes in quick succession cost one. */
    void schedule() {
        if (scheduled) {
            return;
        }
        scheduled = true;
        long delayMillis = DELAY_FACTOR * lastBuildNanos / NANOS_PER_MILLI;
        vertx.setTimer(
                Math.max(MIN_DELAY_MILLIS, Math.min(MAX_DELAY_MILLIS, delayMillis)),
                id -> {
                    scheduled = false;
                    publish();
                });
    }

    /** Publishes the table at once if it has changed. */
    void publish() {
        long now = System.nanoTime();
        Configuration current = configuration.get();
        crashEvidence.setHoldNanos(longestCrashHoldNanos(current));
        RoutingTable next = builder.build(current, crashEvidence, now);
        lastBuildNanos = System.nanoTime() - now;
        if (!next.equals(published)) {
            published = next;
            receiver.accept(next);
        }
    }

    private static long longestCrashHoldNanos(Configuration configuration) {
        int seconds =
                configuration.policies().values().stream()
                        .mapToInt(PolicyDefinition::crashHoldSeconds)
                        .max()
                        .orElse(PolicyDefinition.DEFAULT_CRASH_HOLD_SECONDS);
        return TimeUnit.SECONDS.toNanos(seconds);
    }
}
