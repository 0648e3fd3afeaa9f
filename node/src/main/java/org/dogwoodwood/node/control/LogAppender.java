package org.dogwoodwood.node.control;

import io.vertx.core.Vertx;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;
import org.dogwoodwood.codec.log.LogRecord;
import org.dogwoodwood.codec.log.LogRecordCodec;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;

/**
 * Appends this node's records to the log sequentially and retries each with the same publication id
 * until it succeeds or is cancelled; used on the control thread.
 *
 * <p>The first retry follows shortly, since the failure may be a single lost response. Later
 * retries are distributed uniformly over a spread interval, so that nodes do not append at the same
 * time after an outage. The interval grows with the number of members to keep the total rate below
 * {@link #TOTAL_APPENDS_PER_SECOND}.
 */
final class LogAppender {

    /**
     * The rate of appends, per second, that all nodes together should not exceed after an outage.
     */
    static final int TOTAL_APPENDS_PER_SECOND = 50;

    private static final long URGENT_BACKOFF_MILLIS = 2_000;

    private final Vertx vertx;
    private final PlatformLog log;
    private final ControlTimings timings;
    private final IntSupplier memberCount;
    private final EventLog events;
    private final Backoff backoff;
    private final Map<String, PendingAppend> pending = new LinkedHashMap<>();
    private long nextSendNanos = System.nanoTime();
    private boolean inFlight;
    private boolean stopped;
    private long timer = -1;
    private long appendCount;

    LogAppender(
            Vertx vertx,
            PlatformLog log,
            ControlTimings timings,
            RandomGenerator random,
            IntSupplier memberCount,
            EventLog events) {
        this.vertx = vertx;
        this.log = log;
        this.timings = timings;
        this.memberCount = memberCount;
        this.events = events;
        this.backoff = Backoff.create(timings.retryMillis(), random);
    }

    /**
     * Queues a record to append.
     *
     * @param key identifies the queued record; a later record with the same key replaces it
     * @param stream the stream to append to
     * @param publicationId the idempotency id, unique to this content
     * @param content the record
     * @param urgent whether to skip the interval between appends
     */
    void append(
            String key, String stream, String publicationId, LogRecord content, boolean urgent) {
        append(key, stream, publicationId, content, urgent, offset -> {});
    }

    /**
     * Queues a record to append.
     *
     * @param onAppended receives the offset of the record once the log has acknowledged it
     */
    void append(
            String key,
            String stream,
            String publicationId,
            LogRecord content,
            boolean urgent,
            LongConsumer onAppended) {
        PendingAppend known = pending.get(key);
        if (known != null && known.publicationId.equals(publicationId)) {
            return;
        }
        byte[] data = LogRecordCodec.encode(content);
        pending.put(
                key,
                new PendingAppend(
                        key, stream, content.subject(), publicationId, data, urgent, onAppended));
        schedule();
    }

    /** Returns whether a record with the given key is queued or being appended. */
    boolean isPending(String key) {
        return pending.containsKey(key);
    }

    /** Removes the record with the given key; an append in flight is not interrupted. */
    void cancel(String key) {
        pending.remove(key);
    }

    /** Returns the number of successful appends. */
    long appendCount() {
        return appendCount;
    }

    void stop() {
        stopped = true;
        vertx.cancelTimer(timer);
    }

    private void schedule() {
        Optional<PendingAppend> next = nextAppend();
        if (stopped || inFlight || next.isEmpty()) {
            return;
        }
        vertx.cancelTimer(timer);
        long delayMillis = (nextSendNanos - System.nanoTime()) / 1_000_000;
        if (next.get().urgent) {
            delayMillis =
                    backoff.failures() == 0 ? 0 : Math.min(delayMillis, URGENT_BACKOFF_MILLIS);
        }
        timer = vertx.setTimer(Math.max(1, delayMillis), id -> send());
    }

    private Optional<PendingAppend> nextAppend() {
        Optional<PendingAppend> urgent =
                pending.values().stream().filter(entry -> entry.urgent).findFirst();
        return urgent.isPresent() ? urgent : pending.values().stream().findFirst();
    }

    private void send() {
        Optional<PendingAppend> next = nextAppend();
        if (stopped || inFlight || next.isEmpty()) {
            return;
        }
        PendingAppend entry = next.get();
        inFlight = true;
        log.append(entry.stream, entry.subject, entry.publicationId, entry.data)
                .onComplete(
                        offset -> onAppended(entry, offset), failure -> onFailed(entry, failure));
    }

    private void onAppended(PendingAppend entry, long offset) {
        inFlight = false;
        appendCount++;
        pending.remove(entry.key, entry);
        entry.onAppended.accept(offset);
        backoff.reset();
        nextSendNanos = System.nanoTime() + timings.appendIntervalMillis() * 1_000_000;
        schedule();
    }

    private void onFailed(PendingAppend entry, Throwable failure) {
        inFlight = false;
        if (backoff.failures() == 0) {
            events.write(LogEvent.APPEND_FAILED, "stream", entry.stream, "reason", failure);
        }
        long bound = entry.urgent ? URGENT_BACKOFF_MILLIS : retrySpreadMillis();
        long delayMillis =
                backoff.failures() == 0
                        ? backoff.nextDelayMillis(bound)
                        : backoff.nextUniformDelayMillis(bound);
        nextSendNanos = System.nanoTime() + delayMillis * 1_000_000;
        schedule();
    }

    private long retrySpreadMillis() {
        long millisByMembers = memberCount.getAsInt() * 1_000L / TOTAL_APPENDS_PER_SECOND;
        return Math.max(timings.appendSpreadMillis(), millisByMembers);
    }

    private static final class PendingAppend {
        private final String key;
        private final String stream;
        private final String subject;
        private final String publicationId;
        private final byte[] data;
        private final boolean urgent;
        private final LongConsumer onAppended;

        private PendingAppend(
                String key,
                String stream,
                String subject,
                String publicationId,
                byte[] data,
                boolean urgent,
                LongConsumer onAppended) {
            this.key = key;
            this.stream = stream;
            this.subject = subject;
            this.publicationId = publicationId;
            this.data = data;
            this.urgent = urgent;
            this.onAppended = onAppended;
        }
    }
}
