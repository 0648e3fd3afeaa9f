package org.dogwoodwood.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import org.dogwoodwood.core.model.NodeId;

/** Replays the calls of a service through grants, reports and a decider, in steps of 100 ms. */
final class RolloutReplay {

    static final long SECOND = 1_000_000_000L;
    private static final long TICK = SECOND / 10;
    private static final int NODES = 9;
    private static final int MAX_BAD_ANSWERS = 50;
    private static final List<String> ROUTES = List.of("a", "a", "a", "a", "a", "a", "b", "b", "c");

    /** How one attempt ends; a latency of 0 means without an answer. */
    record Result(boolean failed, double latencySeconds, boolean warm) {}

    /** Determines results from the time since the order and the version's recent rate. */
    interface Version {
        Result answer(double seconds, String route, double callsPerSecond, double draw);
    }

    private record Pending(long atNanos, int node, String route, boolean next, Result result) {}

    private final SplittableRandom random;
    private final DoubleUnaryOperator callsPerSecond;
    private final Version current;
    private final Version next;
    private final Map<Integer, Map<String, RouteEvidence>> counts = new HashMap<>();
    private final long[] nodeCalls = new long[NODES];
    private final RolloutGrant[] grants = new RolloutGrant[NODES];
    private final PriorityQueue<Pending> pending =
            new PriorityQueue<>((one, other) -> Long.compare(one.atNanos(), other.atNanos()));
    private final List<RolloutProgress> records = new ArrayList<>();
    private final RolloutOrder order;
    private RolloutDecider decider;
    private RolloutProgress unstored;
    private long nowNanos;
    private long sequence;
    private double nextRate;
    private int badAnswers;
    private long limitNanos = Long.MAX_VALUE - 10 * SECOND;
    long calls;
    long exposed;
    long sentAfterLimit;
    boolean storeAvailable = true;

    RolloutReplay(
            long seed,
            int durationSeconds,
            DoubleUnaryOperator callsPerSecond,
            Version current,
            Version next) {
        this.random = new SplittableRandom(seed);
        this.callsPerSecond = callsPerSecond;
        this.current = current;
        this.next = next;
        order = new RolloutOrder(7, "outings", "v2", durationSeconds * SECOND);
        decider = RolloutDecider.start(order, 0);
    }

    RolloutDecider decider() {
        return decider;
    }

    RolloutProgress stored() {
        return records.isEmpty() ? RolloutProgress.initial(order) : records.get(records.size() - 1);
    }

    int recordCount() {
        return records.size();
    }

    double seconds() {
        return nowNanos / (double) SECOND;
    }

    /** The decider is killed; another node goes on from the stored progress after a pause. */
    void restartDecider(double pauseSeconds) {
        decider = null;
        run(seconds() + pauseSeconds);
        decider = RolloutDecider.resume(stored(), order.durationNanos(), nowNanos);
    }

    /** Runs until the given time or until a final state is stored. */
    RolloutReplay run(double untilSeconds) {
        while (seconds() < untilSeconds && !stored().state().isFinal()) {
            step();
        }
        return this;
    }

    private void step() {
        nowNanos += TICK;
        sendCalls();
        while (!pending.isEmpty() && pending.peek().atNanos() <= nowNanos) {
            end(pending.poll());
        }
        if (decider != null && nowNanos % (5 * TICK) == 0) {
            if (unstored != null && storeAvailable) {
                records.add(unstored);
                decider.onStored(unstored);
            }
            unstored = null;
            sequence++;
            for (int node = 0; node < NODES; node++) {
                decider.onReport(reportOf(node), nowNanos);
            }
            RolloutDecision decision = decider.decide(nowNanos);
            unstored = decision.progress().equals(stored()) ? null : decision.progress();
            for (int node = 0; node < NODES; node++) {
                grants[node] =
                        new RolloutGrant(
                                order.id(),
                                order.targetVersion(),
                                stored().state(),
                                decider.shareFor(NodeId.of("node-" + node)),
                                nowNanos + RolloutDecider.LEASE_NANOS);
            }
        }
    }

    private void sendCalls() {
        double rate = callsPerSecond.applyAsDouble(seconds());
        int number = (int) (rate / 10 + random.nextDouble());
        int toNext = 0;
        for (int i = 0; i < number; i++) {
            int node = random.nextInt(NODES);
            String route = ROUTES.get(random.nextInt(ROUTES.size()));
            boolean isNext =
                    grants[node] != null
                            && grants[node].selectsNewVersion(nowNanos, random.nextDouble());
            toNext += isNext ? 1 : 0;
            calls++;
            nodeCalls[node]++;
            add(node, route, isNext, new VersionCounts(1, 0, 0, 0, LatencyClasses.empty()));
            Version version = isNext ? next : current;
            double versionRate = isNext ? nextRate : rate;
            Result result = version.answer(seconds(), route, versionRate, random.nextDouble());
            long ended = nowNanos + (long) (result.latencySeconds() * SECOND);
            pending.add(new Pending(ended, node, route, isNext, result));
        }
        exposed += toNext;
        sentAfterLimit += nowNanos > limitNanos + 5 * SECOND ? toNext : 0;
        nextRate += 0.2 * (toNext * 10 - nextRate);
    }

    private void end(Pending attempt) {
        Result result = attempt.result();
        boolean lost = result.latencySeconds() == 0;
        boolean slow = result.latencySeconds() > 0.2;
        if (attempt.next() && (result.failed() || slow) && ++badAnswers == MAX_BAD_ANSWERS) {
            limitNanos = nowNanos;
        }
        int latencyClass = LatencyClasses.classOf((long) (result.latencySeconds() * SECOND));
        LatencyClasses latencies =
                lost || !result.warm()
                        ? LatencyClasses.empty()
                        : LatencyClasses.empty().plus(latencyClass, 1);
        int failures = result.failed() ? 1 : 0;
        add(
                attempt.node(),
                attempt.route(),
                attempt.next(),
                new VersionCounts(0, 1, failures, lost ? 1 : 0, latencies));
    }

    private void add(int node, String route, boolean isNext, VersionCounts added) {
        RouteEvidence evidence =
                isNext
                        ? new RouteEvidence(VersionCounts.none(), added)
                        : new RouteEvidence(added, VersionCounts.none());
        counts.computeIfAbsent(node, key -> new HashMap<>())
                .merge(route, evidence, RouteEvidence::plus);
    }

    private EvidenceReport reportOf(int node) {
        return new EvidenceReport(
                NodeId.of("node-" + node),
                1,
                order.id(),
                sequence,
                nodeCalls[node],
                counts.getOrDefault(node, Map.of()));
    }
}
