package org.dogwoodwood.node.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.regex.Pattern;
import org.dogwoodwood.core.ErrorCode;

/**
 * The metrics of a node; {@code docs/metrics.md} lists them. Confined to the traffic loop, except
 * for {@link #prometheusText}, which may be called on any thread.
 */
public final class NodeMetrics {

    // Bounds memory: callers and operators choose the names of services and call classes.
    private static final int MAX_LABEL_PAIRS = 512;
    private static final int MAX_ACCOUNTS = 512;
    private static final String OTHER_ACCOUNT = "other accounts";
    private static final long NANOS_PER_MICRO = 1_000;

    private static final Pattern TOTAL_NAME = Pattern.compile("dogwoodwood_(.*)_total");

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<String, LongSupplier> totals = new ConcurrentSkipListMap<>();
    private final Map<CallLabels, Histogram> latencies = new HashMap<>();
    private final Map<AnswerLabels, Counter> answers = new HashMap<>();
    private final Map<CallLabels, TargetTimes> targetTimes = new HashMap<>();
    private final Map<String, Counter> accountRequests = new HashMap<>();
    private final Counter refusedKeys = counter("dogwoodwood_refused_keys_total");
    private final Map<String, PlacedCounters> placed = new HashMap<>();
    private final Map<String, AtomicLong> freeSlotsByName = new HashMap<>();
    private final Counter attempts = counter("dogwoodwood_attempts_total");
    private final Counter retries = counter("dogwoodwood_retries_total");
    private final Counter hedges = counter("dogwoodwood_hedges_total");
    private final Counter hedgesWon = counter("dogwoodwood_hedges_won_total");
    private final Counter hedgesWasted = counter("dogwoodwood_hedges_wasted_total");
    private final Counter cancelled = counter("dogwoodwood_cancelled_calls_total");
    private final Counter lateAnswers = counter("dogwoodwood_late_answers_total");
    private final Counter targetCalls = counter("dogwoodwood_target_calls_total");
    private final Counter quotaAsks = counter("dogwoodwood_quota_messages_total", "kind", "ask");
    private final Counter quotaLoans = counter("dogwoodwood_quota_messages_total", "kind", "loan");
    private final Map<String, Counter> quotaRefusals = new HashMap<>();
    private final Counter foreignAnswers = counter("dogwoodwood_foreign_answers_total");

    private NodeMetrics() {}

    /** Returns metrics that are all zero. */
    public static NodeMetrics create() {
        return new NodeMetrics();
    }

    /**
     * Counts an answer to a caller and records its latency.
     *
     * @param status the HTTP status
     * @param latencyNanos the latency, in nanoseconds
     */
    public void onAnswered(String service, String callClass, int status, long latencyNanos) {
        CallLabels labels = boundedLabels(latencies, service, callClass);
        latencies
                .computeIfAbsent(labels, this::newLatencyHistogram)
                .update(latencyNanos / NANOS_PER_MICRO);
        answers.computeIfAbsent(new AnswerLabels(labels, status / 100), this::newAnswerCounter)
                .inc();
    }

    /** Counts a request of an account that was answered. */
    public void onAccountRequest(String account) {
        boolean known =
                accountRequests.containsKey(account) || accountRequests.size() < MAX_ACCOUNTS;
        accountRequests
                .computeIfAbsent(
                        known ? account : OTHER_ACCOUNT,
                        label -> counter("dogwoodwood_account_requests_total", "account", label))
                .inc();
    }

    /** Counts a request that was refused because it has no key of an account. */
    public void onKeyRefused() {
        refusedKeys.inc();
    }

    /** Counts an attempt that is sent to a guard. */
    public void onAttempt() {
        attempts.inc();
    }

    /** Counts an attempt by whether its target is in the data centre of this node. */
    public void onPlaced(String service, boolean local) {
        boolean known = placed.containsKey(service) || placed.size() < MAX_LABEL_PAIRS;
        placed.computeIfAbsent(known ? service : "other", this::newPlacedCounters).of(local).inc();
    }

    /** Sets the known number of free slots of a service in a data centre; -1 if it is unknown. */
    public void onFreeSlots(String service, String dataCentre, long freeSlots) {
        String name =
                Series.of(
                                "dogwoodwood_known_free_slots",
                                "service",
                                service,
                                "data_centre",
                                dataCentre)
                        .registryName();
        AtomicLong value = freeSlotsByName.get(name);
        if (value == null && freeSlotsByName.size() < MAX_LABEL_PAIRS) {
            AtomicLong added = new AtomicLong();
            freeSlotsByName.put(name, added);
            addGauge(name, added::get);
            value = added;
        }
        if (value != null) {
            value.set(freeSlots);
        }
    }

    /** Counts an attempt after the first one that is not a hedge. */
    public void onRetry() {
        retries.inc();
    }

    /** Counts a second attempt that is sent while the first one is unanswered. */
    public void onHedge() {
        hedges.inc();
    }

    /** Counts the hedges of a call that has ended, by whether one of them gave the answer. */
    public void onHedgesEnded(int won, int wasted) {
        hedgesWon.inc(won);
        hedgesWasted.inc(wasted);
    }

    /** Counts a call whose caller disconnected before the answer. */
    public void onCancelled() {
        cancelled.inc();
    }

    /** Counts an answer to an attempt that was no longer pending. */
    public void onLateAnswer() {
        lateAnswers.inc();
    }

    /** Counts a call that is started at the target. */
    public void onTargetCall() {
        targetCalls.inc();
    }

    /** Counts an answer of the target that is not the one to the request that waits for it. */
    public void onForeignAnswer() {
        foreignAnswers.inc();
    }

    /**
     * Records the times of an attempt that has ended at the target, whatever its result.
     *
     * @param startedSlow whether the target was known to be in a slow phase when the attempt
     *     started
     * @param waitNanos how long the attempt was queued at the guard, in nanoseconds
     * @param serviceNanos how long the attempt occupied a slot of the target, in nanoseconds
     */
    public void onTargetResult(
            String service,
            String callClass,
            boolean startedSlow,
            long waitNanos,
            long serviceNanos) {
        targetTimes
                .computeIfAbsent(
                        boundedLabels(targetTimes, service, callClass), this::newTargetTimes)
                .update(startedSlow, waitNanos, serviceNanos);
    }

    /** Counts an attempt that the guard ended without an answer from the target. */
    public void onGuardRefusal(ErrorCode code) {
        counter("dogwoodwood_guard_refusals_total", "kind", code.name()).inc();
    }

    /** Counts an error answer that the ingress generated instead of forwarding one of a target. */
    public void onIngressError(ErrorCode code) {
        counter("dogwoodwood_errors_total", "kind", code.name()).inc();
    }

    /** Counts a call that was refused because its account exceeds its quota. */
    public void onQuotaRefusal(String account) {
        boolean known = quotaRefusals.containsKey(account) || quotaRefusals.size() < MAX_ACCOUNTS;
        quotaRefusals
                .computeIfAbsent(
                        known ? account : OTHER_ACCOUNT,
                        label -> counter("dogwoodwood_quota_refused_total", "account", label))
                .inc();
    }

    /** Counts a message with asks of this ingress or loan requests of its coordinators. */
    public void onQuotaMessage(boolean loan) {
        (loan ? quotaLoans : quotaAsks).inc();
    }

    /** Adds a gauge, whose value is read each time the metrics are written. */
    public void addGauge(String name, LongSupplier value) {
        Gauge<Long> gauge = value::getAsLong;
        registry.register(name, gauge);
    }

    /**
     * Adds a counter whose value is read each time the metrics are written, and once at the stop of
     * the node for its log.
     *
     * @param name the name of the metric, which ends in {@code _total}
     * @param value the value, readable on any thread
     * @param labels alternating names and values of labels
     */
    public void addTotal(String name, LongSupplier value, String... labels) {
        addGauge(Series.of(name, labels).registryName(), value);
        totals.put(shortName(name, labels), value);
    }

    /** Returns alternating short names and values of the totals that are not zero. */
    public Object[] totalFields() {
        List<Object> fields = new ArrayList<>();
        totals.forEach(
                (name, value) -> {
                    long total = value.getAsLong();
                    if (total != 0) {
                        fields.add(name);
                        fields.add(total);
                    }
                });
        return fields.toArray();
    }

    private static String shortName(String name, String... labels) {
        StringBuilder text = new StringBuilder(TOTAL_NAME.matcher(name).replaceAll("$1"));
        for (int i = 1; i < labels.length; i += 2) {
            text.append('.').append(labels[i]);
        }
        return text.toString();
    }

    /** Returns all metrics in the Prometheus text format. */
    public String prometheusText() {
        return PrometheusText.of(registry);
    }

    private static CallLabels boundedLabels(
            Map<CallLabels, ?> series, String service, String callClass) {
        CallLabels labels = new CallLabels(service, callClass);
        boolean known = series.containsKey(labels) || series.size() < MAX_LABEL_PAIRS;
        return known ? labels : CallLabels.OTHER;
    }

    private Histogram newLatencyHistogram(CallLabels labels) {
        return histogram("dogwoodwood_latency_microseconds", labels);
    }

    private TargetTimes newTargetTimes(CallLabels labels) {
        return new TargetTimes(
                histogram("dogwoodwood_guard_wait_microseconds", labels),
                histogram("dogwoodwood_target_time_microseconds", labels, "start", "usual"),
                histogram("dogwoodwood_target_time_microseconds", labels, "start", "slow"));
    }

    private Histogram histogram(String name, CallLabels labels, String... others) {
        List<String> all = new ArrayList<>();
        all.addAll(List.of("service", labels.service(), "class", labels.callClass()));
        all.addAll(List.of(others));
        String key = Series.of(name, all.toArray(String[]::new)).registryName();
        return registry.histogram(key, () -> new Histogram(new HdrReservoir()));
    }

    private PlacedCounters newPlacedCounters(String service) {
        String name = "dogwoodwood_placed_attempts_total";
        return new PlacedCounters(
                counter(name, "service", service, "data_centre", "local"),
                counter(name, "service", service, "data_centre", "other"));
    }

    private Counter newAnswerCounter(AnswerLabels labels) {
        return counter(
                "dogwoodwood_answers_total",
                "service",
                labels.call().service(),
                "class",
                labels.call().callClass(),
                "status",
                labels.statusClass() + "xx");
    }

    private Counter counter(String name, String... labels) {
        return registry.counter(Series.of(name, labels).registryName());
    }

    private record CallLabels(String service, String callClass) {

        static final CallLabels OTHER = new CallLabels("other", "other");
    }

    /** Histograms of the queueing times at the guard and the service times at the target. */
    private record TargetTimes(Histogram waits, Histogram usualTimes, Histogram slowTimes) {

        void update(boolean startedSlow, long waitNanos, long serviceNanos) {
            waits.update(waitNanos / NANOS_PER_MICRO);
            (startedSlow ? slowTimes : usualTimes).update(serviceNanos / NANOS_PER_MICRO);
        }
    }

    /** Counters of the attempts in the data centre of this node and in others. */
    private record PlacedCounters(Counter local, Counter other) {

        Counter of(boolean isLocal) {
            return isLocal ? local : other;
        }
    }

    private record AnswerLabels(CallLabels call, int statusClass) {}
}
