package org.dogwoodwood.node.control;

import io.vertx.core.Vertx;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dogwoodwood.codec.log.LogRecord;
import org.dogwoodwood.codec.log.LogRecordCodec;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.membership.DataCentreOrder;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;

/** Reads a log stream from its start, then by long polling; used on the control thread. */
final class LogReader implements ConfigurationSource {

    private static final int MAX_RECORDS_PER_READ = 500;
    private static final int MAX_RECENT_IDS = 10_000;
    private static final long MAX_BACKOFF_MILLIS = 5_000;

    // All nodes announce themselves in the first seconds. A few reads after short pauses suffice to
    // discover some of them; gossip disseminates the others.
    private static final int SHORT_PAUSES = 2;
    private static final int LONG_PAUSE_DOUBLINGS = 5;

    private final Vertx vertx;
    private final PlatformLog log;
    private final String stream;
    private final ControlTimings timings;
    private final EntryListener listener;
    private final EventLog events;
    private final RandomGenerator random;
    private final Backoff backoff;
    private final Set<String> recentIds = new LinkedHashSet<>();
    private long nextOffset;
    private boolean caughtUp;
    private int pauseCount;
    private boolean stopped;
    private long sentNanos;

    /** Receives what was read, in log order, on the control thread. */
    interface EntryListener {

        /** Handles a record that does not repeat a recent publication id. */
        void onEntry(LogEntry entry);

        /** Handles the offset of a record that repeats a recent one or cannot be decoded. */
        void onIgnored(long offset);

        /** Called when the log no longer retains the records before {@code firstOffset}. */
        void onExpired(long firstOffset);

        /**
         * Called when a read has reached the end of the stream.
         *
         * @param sentNanos when the read was sent, in nanoseconds of the monotonic clock
         */
        default void onEndReached(long sentNanos) {}

        /** Called after each successful read, after its records were handled. */
        default void onRead() {}
    }

    LogReader(
            Vertx vertx,
            PlatformLog log,
            String stream,
            ControlTimings timings,
            RandomGenerator random,
            EntryListener listener,
            EventLog events) {
        this.vertx = vertx;
        this.log = log;
        this.stream = stream;
        this.timings = timings;
        this.listener = listener;
        this.events = events;
        this.random = random;
        this.backoff = Backoff.create(timings.retryMillis(), random);
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
    public void onMembersChanged() {
        // All members read the log alike.
    }

    @Override
    public boolean isCaughtUp() {
        return caughtUp;
    }

    @Override
    public boolean isReachable() {
        long waitedMillis = (System.nanoTime() - sentNanos) / 1_000_000;
        long allowedMillis = timings.pollWaitMillis() + timings.exchangeTimeoutMillis();
        return caughtUp && backoff.failures() == 0 && waitedMillis <= allowedMillis;
    }

    @Override
    public long nextOffset() {
        return nextOffset;
    }

    @Override
    public boolean holds(DataCentreOrder order) {
        return false;
    }

    private void readNext() {
        if (stopped) {
            return;
        }
        long waitMillis = caughtUp ? timings.pollWaitMillis() : 0;
        sentNanos = System.nanoTime();
        log.read(stream, nextOffset, MAX_RECORDS_PER_READ, waitMillis)
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
        boolean pauses = caughtUp && !batch.records().isEmpty() && timings.readPauseMillis() > 0;
        batch.records().forEach(this::onRecord);
        nextOffset = Math.max(nextOffset, batch.nextOffset());
        caughtUp |= batch.complete();
        if (batch.complete()) {
            listener.onEndReached(sentNanos);
        }
        listener.onRead();
        if (pauses) {
            vertx.setTimer(pauseMillis(), id -> readNext());
        } else {
            // Runs as a new task, since a log that responds synchronously would deepen the stack.
            vertx.runOnContext(ignored -> readNext());
        }
    }

    // Randomized, so that nodes whose reads ended together do not read together again.
    private long pauseMillis() {
        int doublings = pauseCount < SHORT_PAUSES ? pauseCount : LONG_PAUSE_DOUBLINGS;
        long mean = timings.readPauseMillis() << doublings;
        pauseCount++;
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
        if (recentIds.size() > MAX_RECENT_IDS) {
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
