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
 * Appends this node's records one at a time, each with one publication id until it took effect;
 * used on the control thread.
 *
 * <p>The first retry follows soon, as a single response may be lost. Further retries are spread at
 * random over the spread time, so that nodes that waited through an outage do not append together.
 * The spread time grows with the number of members to keep the sum below {@link
 * #TOTAL_APPENDS_PER_SECOND}.
 */
final class LogAppender {

    /** The appends per second that all nodes together aim to stay below after an outage. */
    static final int TOTAL_APPENDS_PER_SECOND = 50;

    private static final long URGENT_BACKOFF_MILLIS = 2_000;

    private final Vertx vertx;
    private final PlatformLog log;
    private final ControlTimes times;
    private final IntSupplier members;
    private final EventLog events;
    private final Backoff backoff;
    private final Map<String, Pending> pending = new LinkedHashMap<>();
    private long earliestNanos = System.nanoTime();
    private boolean inFlight;
    private boolean stopped;
    private long timer = -1;
    private long appended;

    LogAppender(
            Vertx vertx,
            PlatformLog log,
            ControlTimes times,
            RandomGenerator random,
            IntSupplier members,
            EventLog events) {
        this.vertx = vertx;
        this.log = log;
        this.times = times;
        this.members = members;
        this.events = events;
        this.backoff = Backoff.create(times.retryMillis(), random);
    }

    /**
     * Queues a record.
     *
     * @param key what the record is about; a later record with the same key replaces it
     * @param stream the stream
     * @param publicationId an id that is used for this content only
     * @param content the record
     * @param urgent whether the record may follow an earlier append at once
     */
    void append(
            String key, String stream, String publicationId, LogRecord content, boolean urgent) {
        append(key, stream, publicationId, content, urgent, offset -> {});
    }

    /**
     * Queues a record.
     *
     * @param onAppended is told the offset of the record when the log has acknowledged it
     */
    void append(
            String key,
            String stream,
            String publicationId,
            LogRecord content,
            boolean urgent,
            LongConsumer onAppended) {
        Pending known = pending.get(key);
        if (known != null && known.publicationId.equals(publicationId)) {
            return;
        }
        byte[] data = LogRecordCodec.encode(content);
        pending.put(
                key,
                new Pending(
                        key, stream, content.subject(), publicationId, data, urgent, onAppended));
        schedule();
    }

    /** Returns whether a record with a key is queued or being appended. */
    boolean isPending(String key) {
        return pending.containsKey(key);
    }

    /** Drops a queued record that is no longer wanted. */
    void cancel(String key) {
        pending.remove(key);
    }

    /** Returns the number of appends that succeeded. */
    long appended() {
        return appended;
    }

    void stop() {
        stopped = true;
        vertx.cancelTimer(timer);
    }

    private void schedule() {
        Optional<Pending> next = next();
        if (stopped || inFlight || next.isEmpty()) {
            return;
        }
        vertx.cancelTimer(timer);
        long delayMillis = (earliestNanos - System.nanoTime()) / 1_000_000;
        if (next.get().urgent) {
            delayMillis =
                    backoff.failures() == 0 ? 0 : Math.min(delayMillis, URGENT_BACKOFF_MILLIS);
        }
        timer = vertx.setTimer(Math.max(1, delayMillis), id -> send());
    }

    private Optional<Pending> next() {
        Optional<Pending> urgent =
                pending.values().stream().filter(entry -> entry.urgent).findFirst();
        return urgent.isPresent() ? urgent : pending.values().stream().findFirst();
    }

    private void send() {
        Optional<Pending> next = next();
        if (stopped || inFlight || next.isEmpty()) {
            return;
        }
        Pending entry = next.get();
        inFlight = true;
        log.append(entry.stream, entry.subject, entry.publicationId, entry.data)
                .onComplete(
                        offset -> onAppended(entry, offset), failure -> onFailed(entry, failure));
    }

    private void onAppended(Pending entry, long offset) {
        inFlight = false;
        appended++;
        pending.remove(entry.key, entry);
        entry.onAppended.accept(offset);
        backoff.reset();
        earliestNanos = System.nanoTime() + times.appendIntervalMillis() * 1_000_000;
        schedule();
    }

    private void onFailed(Pending entry, Throwable failure) {
        inFlight = false;
        if (backoff.failures() == 0) {
            events.write(LogEvent.APPEND_FAILED, "stream", entry.stream, "reason", failure);
        }
        long bound = entry.urgent ? URGENT_BACKOFF_MILLIS : spreadMillis();
        long delayMillis =
                backoff.failures() == 0
                        ? backoff.nextDelayMillis(bound)
                        : backoff.nextDelayOver(bound);
        earliestNanos = System.nanoTime() + delayMillis * 1_000_000;
        schedule();
    }

    private long spreadMillis() {
        long byMembers = members.getAsInt() * 1_000L / TOTAL_APPENDS_PER_SECOND;
        return Math.max(times.appendSpreadMillis(), byMembers);
    }

    private static final class Pending {
        private final String key;
        private final String stream;
        private final String subject;
        private final String publicationId;
        private final byte[] data;
        private final boolean urgent;
        private final LongConsumer onAppended;

        private Pending(
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
