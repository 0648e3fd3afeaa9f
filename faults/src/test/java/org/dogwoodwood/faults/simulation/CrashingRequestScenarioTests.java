package org.dogwoodwood.faults.simulation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.faults.simulation.EventLoop.MILLISECOND;
import static org.dogwoodwood.faults.simulation.EventLoop.SECOND;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.Outcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a request that crashes targets without end, and against a popular request that is
 * refused with it, since it is at work at each crash.
 */
class CrashingRequestScenarioTests {

    private static final long POPULAR = 1_234;
    private static final long CRASHING = 5_678;
    private static final long TIMEOUT_NANOS = 2 * SECOND;
    private static final long POPULAR_INTERVAL_NANOS = 10 * MILLISECOND;
    private static final long CRASHING_INTERVAL_NANOS = 200 * MILLISECOND;
    private static final long LENGTH_NANOS = 40 * SECOND;

    /** The time from the crash that reaches the limit on, during which retries may go on. */
    private static final long STABLE_WINDOW_NANOS = 3 * SECOND;

    private static final int MAX_LATE_RETRIES = 3;

    /** Requests take 0.3 to 0.8 s then, about as long as targets are up between crashes. */
    private static final int LONG_REQUEST_FACTOR = 40;

    private static final long LONG_INTERVAL_NANOS = 50 * MILLISECOND;
    private static final int OWN_CRASHES = 6;
    private static final long MIN_CRASH_GAP_NANOS = 600 * MILLISECOND;
    private static final long OWN_CRASH_INTERVAL_NANOS = 2 * SECOND;

    /** How long after the last crash all requests are served. */
    private static final long SETTLE_NANOS = 5 * SECOND;

    private static final List<String> NODES = List.of("a1", "b1", "c1", "c2");

    private SimulatedCluster cluster;
    private long lastNumber = 1_000_000;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void onlyTheCrashingRequestIsStopped(long seed) {
        start(seed);
        long startNanos = cluster.loop().now();
        sendBoth(LENGTH_NANOS);
        runFor(TIMEOUT_NANOS);

        assertFewLateRetries(PolicyDefinition.DEFAULT_CRASH_LIMIT, NODES);
        assertPopularIsServed(startNanos);
    }

    /** Without gossip from a data centre, its node knows only the crashes of its own target. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void eachSideOfAPartitionStopsTheCrashingRequest(long seed) {
        start(seed);
        cluster.network().setIsolated("a", true);
        runFor(5 * SECOND);
        long startNanos = cluster.loop().now();
        sendBoth(LENGTH_NANOS);
        runFor(TIMEOUT_NANOS);

        assertFewLateRetries(PolicyDefinition.DEFAULT_CRASH_LIMIT, List.of("a1"));
        assertFewLateRetries(PolicyDefinition.DEFAULT_CRASH_LIMIT, List.of("b1", "c1", "c2"));
        assertPopularIsServed(startNanos);
    }

    /**
     * Guards against a long request that is refused for minutes, since it is at work whenever all
     * targets crash together, also when it is on trial, though it was answered before.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void longRequestIsServedAfterTargetsCrashTogether(long seed) {
        startWithLongRequests(seed);
        for (int crash = 0; crash < OWN_CRASHES; crash++) {
            cluster.targets().forEach(SimulatedTarget::crash);
            sendPopular(LONG_INTERVAL_NANOS, drawUpNanos());
        }
        assertServedAfterLastCrash();
    }

    /** As above, with targets that crash one after the other. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void longRequestIsServedAfterTargetsCrashInTurn(long seed) {
        startWithLongRequests(seed);
        for (int crash = 0; crash < OWN_CRASHES; crash++) {
            target(crash % NODES.size()).crash();
            sendPopular(LONG_INTERVAL_NANOS, drawUpNanos() / NODES.size());
        }
        assertServedAfterLastCrash();
    }

    /** Guards against a crashing request that profits from doubts while targets crash anyway. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void crashingRequestIsStoppedWhileTargetsCrashAnyway(long seed) {
        start(seed);
        long startNanos = cluster.loop().now();
        for (int i = 0; i < LENGTH_NANOS / OWN_CRASH_INTERVAL_NANOS; i++) {
            target(cluster.loop().random().nextInt(NODES.size())).crash();
            sendBoth(OWN_CRASH_INTERVAL_NANOS);
        }
        runFor(TIMEOUT_NANOS);

        assertFewLateRetries(PolicyDefinition.DEFAULT_CRASH_LIMIT, NODES);
        assertPopularIsServed(startNanos);
    }

    private void startWithLongRequests(long seed) {
        start(seed);
        cluster.targets().forEach(target -> target.setSlowdownFactor(LONG_REQUEST_FACTOR));
        sendPopular(LONG_INTERVAL_NANOS, 5 * SECOND);
    }

    private SimulatedTarget target(int number) {
        return List.copyOf(cluster.targets()).get(number);
    }

    private long drawUpNanos() {
        return MIN_CRASH_GAP_NANOS + cluster.loop().random().nextLong(MIN_CRASH_GAP_NANOS);
    }

    private void assertServedAfterLastCrash() {
        sendPopular(LONG_INTERVAL_NANOS, SETTLE_NANOS);
        long startNanos = cluster.loop().now();
        sendPopular(LONG_INTERVAL_NANOS, SETTLE_NANOS);
        runFor(TIMEOUT_NANOS);
        assertPopularIsServed(startNanos);
    }

    /** Sends the popular request in turn through all nodes. */
    private void sendPopular(long intervalNanos, long durationNanos) {
        for (int i = 0; i < durationNanos / intervalNanos; i++) {
            send(NODES.get(i % NODES.size()), POPULAR);
            runFor(intervalNanos);
        }
    }

    private void start(long seed) {
        cluster = SimulatedCluster.create(seed, new Policies());
        cluster.startNode("a1", "a");
        cluster.startNode("b1", "b");
        cluster.startNode("c1", "c");
        cluster.startNode("c2", "c");
        runFor(5 * SECOND);
        cluster.targets().forEach(target -> target.crashOn(CRASHING));
    }

    /** Sends both requests in turn through all nodes. */
    private void sendBoth(long durationNanos) {
        long sends = durationNanos / POPULAR_INTERVAL_NANOS;
        long everyNth = CRASHING_INTERVAL_NANOS / POPULAR_INTERVAL_NANOS;
        for (long i = 0; i < sends; i++) {
            String node = NODES.get((int) (i % NODES.size()));
            send(node, POPULAR);
            if (i % everyNth == 0) {
                send(NODES.get((int) (i / everyNth % NODES.size())), CRASHING);
            }
            runFor(POPULAR_INTERVAL_NANOS);
        }
    }

    private void assertFewLateRetries(int crashLimit, List<String> nodes) {
        List<Event.ExecutionStarted> runs =
                cluster.journal()
                        .of(Event.ExecutionStarted.class)
                        .filter(run -> run.request().fingerprint() == CRASHING)
                        .filter(run -> nodes.contains(run.node().value()))
                        .toList();
        assertThat(runs).hasSizeGreaterThanOrEqualTo(crashLimit);
        long limitNanos = runs.get(crashLimit - 1).atNanos() + STABLE_WINDOW_NANOS;
        assertThat(runs.stream().filter(run -> run.atNanos() > limitNanos).count())
                .as("late retries of %d runs", runs.size())
                .isLessThanOrEqualTo(MAX_LATE_RETRIES);
    }

    /** Most of the time no target is down, so most popular requests must be answered. */
    private void assertPopularIsServed(long startNanos) {
        Set<Long> popular =
                cluster.journal()
                        .of(Event.RequestSubmitted.class)
                        .filter(sent -> sent.atNanos() >= startNanos)
                        .filter(sent -> sent.request().fingerprint() == POPULAR)
                        .map(sent -> sent.request().number())
                        .collect(Collectors.toSet());
        long answered =
                cluster.journal()
                        .of(Event.ResponseReceived.class)
                        .filter(response -> popular.contains(response.request()))
                        .filter(response -> response.outcome() == Outcome.ANSWERED)
                        .count();
        assertThat(answered).isGreaterThan(popular.size() * 3L / 4);
    }

    private void send(String node, long fingerprint) {
        Request request =
                new Request(++lastNumber, true, Optional.empty(), fingerprint, TIMEOUT_NANOS);
        cluster.callers().submit(request, cluster.node(NodeId.of(node)).orElseThrow());
    }

    private void runFor(long nanos) {
        cluster.loop().runUntil(cluster.loop().now() + nanos);
    }
}
