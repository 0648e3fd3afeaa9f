package org.dogwoodwood.core.calls;

import static org.dogwoodwood.core.Preconditions.checkArgument;
import static org.dogwoodwood.core.Preconditions.checkState;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;

/**
 * Registry of the attempts that one guard has received. Each attempt runs at most once, and its
 * answer is retained within bounds of time and size so that an ingress can request it again. Not
 * thread-safe.
 *
 * <p>Evicting an entry raises the watermark of its ingress: attempts at or below the watermark that
 * are not registered are {@link CallState#EVICTED}, never new. A late or repeated CALL therefore
 * cannot run after its entry has been evicted.
 */
public final class CallRegistry {

    /** Default retention time of an ended attempt, in nanoseconds (60 s). */
    public static final long DEFAULT_RETENTION_NANOS = 60_000_000_000L;

    /** Default maximum number of retained attempts. */
    public static final int DEFAULT_MAX_ENTRIES = 20_000;

    /** Default maximum size of all retained answers, in bytes. */
    public static final long DEFAULT_MAX_ANSWER_BYTES = 8L << 20;

    // Above the number of nodes in the largest installation (23,000).
    private static final int MAX_WATERMARKS = 40_000;

    private final long retentionNanos;
    private final int maxEntries;
    private final long maxAnswerBytes;
    private final Map<AttemptId, Boolean> running = new HashMap<>();
    // In order of their end, so that the oldest are evicted first.
    private final LinkedHashMap<AttemptId, EndedAttempt> ended = new LinkedHashMap<>();
    // In order of the last update, so that the watermark of the ingress with the oldest update is
    // dropped first.
    private final LinkedHashMap<NodeId, Watermark> watermarkByIngress = new LinkedHashMap<>();
    private long answerBytes;

    private CallRegistry(long retentionNanos, int maxEntries, long maxAnswerBytes) {
        checkArgument(retentionNanos > 0, "The retention time of attempts must be positive.");
        checkArgument(maxEntries > 0, "The number of retained attempts must be positive.");
        checkArgument(maxAnswerBytes >= 0, "The size of retained answers must not be negative.");
        this.retentionNanos = retentionNanos;
        this.maxEntries = maxEntries;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    /** Returns an empty registry with the default bounds. */
    public static CallRegistry create() {
        return create(DEFAULT_RETENTION_NANOS, DEFAULT_MAX_ENTRIES, DEFAULT_MAX_ANSWER_BYTES);
    }

    /**
     * Returns an empty registry.
     *
     * @param retentionNanos the retention time of an ended attempt, in nanoseconds
     * @param maxEntries the maximum number of retained attempts
     * @param maxAnswerBytes the maximum size of all retained answers, in bytes
     */
    public static CallRegistry create(long retentionNanos, int maxEntries, long maxAnswerBytes) {
        return new CallRegistry(retentionNanos, maxEntries, maxAnswerBytes);
    }

    /**
     * Registers an attempt that has arrived. The attempt may be run only if the result is {@link
     * CallState#NEW}.
     *
     * @param id the attempt, not null
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     */
    public CallState begin(AttemptId id, long nowNanos) {
        CallState state = stateOf(id, nowNanos);
        if (state == CallState.NEW) {
            running.put(id, Boolean.TRUE);
        }
        return state;
    }

    /**
     * Ends a running attempt and retains its answer.
     *
     * @param id the attempt, not null
     * @param finished the result, not null
     * @param nowNanos the current time in nanoseconds
     */
    public void finish(AttemptId id, FinishedCall finished, long nowNanos) {
        Objects.requireNonNull(finished, "finished");
        checkState(running.remove(id) != null, "An attempt must begin before it ends: " + id);
        retain(id, new EndedAttempt(CallState.FINISHED, Optional.of(finished), nowNanos));
        answerBytes += finished.approximateBytes();
        evict(nowNanos);
    }

    /**
     * Returns the state of an attempt that is to be resumed or cancelled. An attempt that has not
     * arrived yet is registered as {@link CallState#CANCELLED}, so that a CALL that arrives later
     * does not run, and this state is returned.
     *
     * @param id the attempt, not null
     * @param nowNanos the current time in nanoseconds
     */
    public CallState resumeOrCancel(AttemptId id, long nowNanos) {
        CallState state = stateOf(id, nowNanos);
        if (state != CallState.NEW) {
            return state;
        }
        retain(id, new EndedAttempt(CallState.CANCELLED, Optional.empty(), nowNanos));
        evict(nowNanos);
        return CallState.CANCELLED;
    }

    /** Returns the result of an attempt, or empty if it has not ended or has no retained answer. */
    public Optional<FinishedCall> finished(AttemptId id) {
        EndedAttempt entry = ended.get(id);
        return entry == null ? Optional.empty() : entry.finished();
    }

    /** Returns the number of running attempts. */
    public int running() {
        return running.size();
    }

    /** Returns the number of retained ended attempts. */
    public int retainedAttempts() {
        return ended.size();
    }

    /** Returns the approximate size of the retained answers, in bytes. */
    public long retainedBytes() {
        return answerBytes;
    }

    private CallState stateOf(AttemptId id, long nowNanos) {
        evict(nowNanos);
        if (running.containsKey(id)) {
            return CallState.RUNNING;
        }
        EndedAttempt entry = ended.get(id);
        if (entry != null) {
            return entry.state();
        }
        Watermark watermark = watermarkByIngress.get(id.call().ingress());
        boolean evicted = watermark != null && watermark.covers(id.call());
        return evicted ? CallState.EVICTED : CallState.NEW;
    }

    private void retain(AttemptId id, EndedAttempt entry) {
        ended.put(id, entry);
    }

    private void evict(long nowNanos) {
        Iterator<Map.Entry<AttemptId, EndedAttempt>> oldest = ended.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<AttemptId, EndedAttempt> entry = oldest.next();
            boolean expired = nowNanos - entry.getValue().endedNanos() > retentionNanos;
            if (!expired && ended.size() <= maxEntries && answerBytes <= maxAnswerBytes) {
                return;
            }
            answerBytes -=
                    entry.getValue().finished().map(FinishedCall::approximateBytes).orElse(0L);
            oldest.remove();
            CallId call = entry.getKey().call();
            raiseWatermark(call);
        }
    }

    private void raiseWatermark(CallId call) {
        Watermark before = watermarkByIngress.remove(call.ingress());
        Watermark watermark = Watermark.of(call);
        watermarkByIngress.put(call.ingress(), before == null ? watermark : before.max(watermark));
        if (watermarkByIngress.size() > MAX_WATERMARKS) {
            watermarkByIngress.remove(watermarkByIngress.keySet().iterator().next());
        }
    }

    private record EndedAttempt(
            CallState state, Optional<FinishedCall> finished, long endedNanos) {}

    /** The highest call of an ingress of which an entry has been evicted. */
    private record Watermark(long incarnation, long counter) {

        static Watermark of(CallId call) {
            return new Watermark(call.incarnation(), call.counter());
        }

        boolean covers(CallId call) {
            if (call.incarnation() != incarnation) {
                return call.incarnation() < incarnation;
            }
            return call.counter() <= counter;
        }

        Watermark max(Watermark other) {
            if (incarnation != other.incarnation) {
                return incarnation > other.incarnation ? this : other;
            }
            return counter >= other.counter ? this : other;
        }
    }
}
