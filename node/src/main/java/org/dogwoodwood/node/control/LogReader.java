package org.dogwoodwood.node.control;

import io.vertx.core.Vertx;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dogwoodwood.codec.log.LogRecord;
import org.dogwoodwood.codec.log.LogRecordCodec;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;

/** Reads one stream of the log from its start, then by long poll; used on the control thread. */
final class LogReader implements ConfigurationSource {

    private static final int MAX_RECORDS = 500;
    private static final int REMEMBERED_IDS = 10_000;
    private static final long MAX_BACKOFF_MILLIS = 5_000;

    // All nodes announce themselves in the first seconds. A few short pauses are enough to learn of
    // some, and gossip tells of the others.
    private static final int SHORT_PAUSES = 2;
    private static final int LONG_PAUSE_DOUBLINGS = 5;

    private final Vertx vertx;
    private final PlatformLog log;
    private final String stream;
    private final ControlTimes times;
    private final EntryListener listener;
    private final EventLog events;
    private final RandomGenerator random;
    private final Backoff backoff;
    private final Set<String> recentIds = new LinkedHashSet<>();
    private long nextOffset;
    private boolean caughtUp;
    private int pauses;
    private boolean stopped;
    private long sentNanos;

    /** Is told of what was read, in log order, on the control thread. */
    interface EntryListener {

        /** Takes in a record whose publication id was not seen shortly before. */
        void onEntry(LogEntry entry);

        /** Takes in that a record repeats another one or cannot be read. */
        void onIgnored(long offset);

        /** Takes in that the log no longer holds the records before an offset. */
        void onExpired(long firstOffset);

        /** Takes in that a read sent at a time, in nanoseconds, showed no further record. */
        default void onEnd(long askedNanos) {}

        /** Takes in that a read succeeded, after its records. */
        default void onRead() {}
    }

    LogReader(
            Vertx vertx,
            PlatformLog log,
            String stream,
            ControlTimes times,
            RandomGenerator random,
            EntryListener listener,
            EventLog events) {
        this.vertx = vertx;
        this.log = log;
        this.stream = stream;
        this.times = times;
        this.listener = listener;
        this.events = events;
        this.random = random;
        this.backoff = Backoff.create(times.retryMillis(), random);
    }

    @Override
    public void start() {
        readNext();
    }

    @Override
    public void stop() {
        stopped = true;
    }

    @Override
    public boolean isCaughtUp() {
        return caughtUp;
    }

    @Override
    public boolean isReachable() {
        long waitedMillis = (System.nanoTime() - sentNanos) / 1_000_000;
        long allowed = times.pollWaitMillis() + times.exchangeTimeoutMillis();
        return caughtUp && backoff.failures() == 0 && waitedMillis <= allowed;
    }

    @Override
    public long nextOffset() {
        return nextOffset;
    }

    private void readNext() {
        if (stopped) {
            return;
        }
        long waitMillis = caughtUp ? times.pollWaitMillis() : 0;
        sentNanos = System.nanoTime();
        log.read(stream, nextOffset, MAX_RECORDS, waitMillis)
                .onSuccess(this::onBatch)
                .onFailure(this::onFailure);
    }

    private void onBatch(PlatformLog.Batch batch) {
        if (stopped) {
            return;
        }
        if (backoff.failures() > 0) {
            events.write(LogEvent.LOG_REACHABLE, "stream", stream, "offset", batch.nextOffset());
        }
        backoff.reset();
        boolean pause = caughtUp && !batch.records().isEmpty() && times.readPauseMillis() > 0;
        batch.records().forEach(this::onRecord);
        nextOffset = Math.max(nextOffset, batch.nextOffset());
        caughtUp |= batch.complete();
        if (batch.complete()) {
            listener.onEnd(sentNanos);
        }
        listener.onRead();
        if (pause) {
            vertx.setTimer(pauseMillis(), id -> readNext());
        } else {
            // A new task, so that a log that answers at once does not deepen the stack.
            vertx.runOnContext(ignored -> readNext());
        }
    }

    // Nodes that were answered together must not read together again.
    private long pauseMillis() {
        int doublings = pauses < SHORT_PAUSES ? pauses : LONG_PAUSE_DOUBLINGS;
        long mean = times.readPauseMillis() << doublings;
        pauses++;
        return mean / 2 + 1 + random.nextLong(mean);
    }

    private void onRecord(PlatformLog.RawRecord raw) {
        if (raw.offset() < nextOffset) {
            return;
        }
        nextOffset = raw.offset() + 1;
        if (!recentIds.add(raw.publicationId())) {
            listener.onIgnored(raw.offset());
            return;
        }
        if (recentIds.size() > REMEMBERED_IDS) {
            recentIds.remove(recentIds.iterator().next());
        }
        LogRecord content;
        try {
            content = LogRecordCodec.decode(raw.data().getBytes());
        } catch (DogwoodwoodException e) {
            events.write(LogEvent.RECORD_UNREADABLE, "stream", stream, "offset", raw.offset());
            listener.onIgnored(raw.offset());
            return;
        }
        listener.onEntry(
                new LogEntry(raw.offset(), raw.timestampMillis(), raw.publicationId(), content));
    }

    private void onFailure(Throwable failure) {
        if (stopped) {
            return;
        }
        if (failure instanceof PlatformLog.OffsetExpiredException expired) {
            events.write(
                    LogEvent.OFFSET_EXPIRED,
                    "stream",
                    stream,
                    "from",
                    nextOffset,
                    "first",
                    expired.firstOffset());
            backoff.reset();
            nextOffset = Math.max(nextOffset, expired.firstOffset());
            listener.onExpired(expired.firstOffset());
            vertx.runOnContext(ignored -> readNext());
            return;
        }
        if (backoff.failures() == 0) {
            events.write(
                    LogEvent.LOG_UNREACHABLE, "stream", stream, "reason", failure.getMessage());
        }
        vertx.setTimer(backoff.nextDelayMillis(MAX_BACKOFF_MILLIS), id -> readNext());
    }
}
