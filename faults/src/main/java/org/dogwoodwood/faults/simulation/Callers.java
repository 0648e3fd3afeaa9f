package org.dogwoodwood.faults.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.Outcome;

/**
 * Simulated callers, which send a steady load with bursts and repeat requests with the same key.
 */
public final class Callers {

    public static final long TIMEOUT_NANOS = 2 * EventLoop.SECOND;

    private static final long REQUEST_INTERVAL_NANOS = 12 * EventLoop.MILLISECOND;
    private static final long BURST_INTERVAL_NANOS = 700 * EventLoop.MILLISECOND;
    private static final int BURST_SIZE = 45;
    private static final long RESPONSE_DELAY_NANOS = 3 * EventLoop.MILLISECOND;
    private static final long REPETITION_DELAY_NANOS = 150 * EventLoop.MILLISECOND;
    private static final int MAX_REPETITIONS = 6;
    private static final int MAX_RECENT_KEYED_REQUESTS = 50;
    private static final int CRASHING_COPIES = 3;

    private record OpenRequest(Request request, NodeId ingress) {}

    private final SimulatedCluster cluster;
    private final EventLoop loop;
    private final Map<Long, OpenRequest> openRequests = new HashMap<>();
    private final Map<Long, Integer> repetitionCounts = new HashMap<>();
    private final List<Request> recentKeyedRequests = new ArrayList<>();
    private long lastNumber;
    private long crashingFingerprint;

    Callers(SimulatedCluster cluster) {
        this.cluster = cluster;
        this.loop = cluster.loop();
    }

    /** Starts the load, which ends at the given virtual time in nanoseconds. */
    public void start(long untilNanos) {
        sendSteadily(untilNanos);
        sendBursts(untilNanos);
    }

    /**
     * Sends three copies of a request that crashes every target on which it runs, and returns its
     * fingerprint.
     */
    public long sendCrashingRequest() {
        crashingFingerprint = -1 - lastNumber;
        cluster.targets().forEach(target -> target.crashOn(crashingFingerprint));
        for (int i = 0; i < CRASHING_COPIES; i++) {
            boolean idempotent = i % 2 == 0;
            loop.schedule(
                    i * REPETITION_DELAY_NANOS,
                    () ->
                            submit(
                                    new Request(
                                            ++lastNumber,
                                            idempotent,
                                            Optional.empty(),
                                            crashingFingerprint,
                                            TIMEOUT_NANOS)));
        }
        return crashingFingerprint;
    }

    /** Returns the fingerprint of the crashing request, or 0 if none was sent. */
    public long crashingFingerprint() {
        return crashingFingerprint;
    }

    void onResponse(
            Request request, Outcome outcome, Optional<ErrorCode> error, Optional<String> body) {
        loop.schedule(
                RESPONSE_DELAY_NANOS,
                () -> {
                    if (openRequests.remove(request.number()) == null) {
                        return;
                    }
                    cluster.journal()
                            .add(
                                    new Event.ResponseReceived(
                                            loop.now(), request.number(), outcome, error, body));
                    if (outcome != Outcome.ANSWERED) {
                        repeatIfAllowed(request);
                    }
                });
    }

    void onIngressClosed(NodeId ingress) {
        List<Request> lost =
                openRequests.values().stream()
                        .filter(call -> call.ingress().equals(ingress))
                        .map(OpenRequest::request)
                        .sorted((a, b) -> Long.compare(a.number(), b.number()))
                        .toList();
        lost.forEach(request -> openRequests.remove(request.number()));
        lost.forEach(this::repeatIfAllowed);
    }

    private void sendSteadily(long untilNanos) {
        if (loop.now() < untilNanos) {
            submit(nextRequest());
            loop.schedule(REQUEST_INTERVAL_NANOS, () -> sendSteadily(untilNanos));
        }
    }

    private void sendBursts(long untilNanos) {
        if (loop.now() < untilNanos) {
            for (int i = 0; i < BURST_SIZE; i++) {
                submit(nextRequest());
            }
            loop.schedule(BURST_INTERVAL_NANOS, () -> sendBursts(untilNanos));
        }
    }

    private Request nextRequest() {
        double sample = loop.random().nextDouble();
        if (sample < 0.1 && !recentKeyedRequests.isEmpty()) {
            return repetitionOf(
                    recentKeyedRequests.get(loop.random().nextInt(recentKeyedRequests.size())));
        }
        long newNumber = ++lastNumber;
        boolean idempotent = sample < 0.4;
        boolean keyed = sample > 0.65;
        Optional<String> key = keyed ? Optional.of("key-" + newNumber) : Optional.empty();
        Request request = new Request(newNumber, idempotent, key, newNumber, TIMEOUT_NANOS);
        if (keyed) {
            recentKeyedRequests.add(request);
            if (recentKeyedRequests.size() > MAX_RECENT_KEYED_REQUESTS) {
                recentKeyedRequests.remove(0);
            }
        }
        return request;
    }

    private Request repetitionOf(Request request) {
        return new Request(
                ++lastNumber,
                request.idempotent(),
                request.key(),
                request.fingerprint(),
                TIMEOUT_NANOS);
    }

    /** Repeats a request that failed if it has a key or is the crashing request, up to a limit. */
    private void repeatIfAllowed(Request request) {
        boolean crashing = request.fingerprint() == crashingFingerprint;
        int repetitions = repetitionCounts.getOrDefault(request.fingerprint(), 0);
        if (repetitions < MAX_REPETITIONS && (crashing || request.key().isPresent())) {
            repetitionCounts.put(request.fingerprint(), repetitions + 1);
            loop.schedule(REPETITION_DELAY_NANOS, () -> submit(repetitionOf(request)));
        }
    }

    private void submit(Request request) {
        List<SimulatedNode> ingresses = cluster.ingresses();
        if (ingresses.isEmpty()) {
            return;
        }
        submit(request, ingresses.get(loop.random().nextInt(ingresses.size())));
    }

    /** Sends a request to the ingress of the given node. */
    public void submit(Request request, SimulatedNode node) {
        openRequests.put(request.number(), new OpenRequest(request, node.id()));
        cluster.journal().add(new Event.RequestSubmitted(loop.now(), request, node.id()));
        node.execute(() -> node.ingress().submit(request));
    }
}
