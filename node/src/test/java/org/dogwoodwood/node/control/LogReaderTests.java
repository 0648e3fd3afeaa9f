package org.dogwoodwood.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwood.codec.log.AnnouncementRecord;
import org.dogwoodwood.codec.log.LogRecordCodec;
import org.dogwoodwood.codec.log.LogStreams;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LogReaderTests {

    private final Vertx vertx = Vertx.vertx();
    private final BusyLog log = new BusyLog();
    private final AtomicInteger entries = new AtomicInteger();

    @AfterEach
    void close() {
        Waiting.get(vertx.close());
    }

    /**
     * Guards against a store that is read once by each node for each node that announces itself: at
     * the start of many nodes that is the square of their number.
     */
    @Test
    void pausesAfterReadsThatShowedRecords() {
        LogReader reader = startReader(log);
        Waiting.until("a record was read", () -> entries.get() > 0);
        Waiting.sleep(3_000);
        reader.stop();

        // The newest records, the end of the log, and reads after pauses that double each time.
        assertThat(log.reads.get()).isLessThanOrEqualTo(6);
    }

    /**
     * Guards against reads after each announcement of the first seconds: gossip tells of members,
     * so a few reads after a start are enough to meet some of them.
     */
    @Test
    void readsOnlyAFewTimesInTheFirstSeconds() {
        LogReader reader = startReader(log);
        Waiting.until("a record was read", () -> entries.get() > 0);
        Waiting.sleep(6_500);
        reader.stop();

        // The end of the log, the first record, and one read after each of two short pauses.
        assertThat(log.reads.get()).isEqualTo(4);
    }

    /** Guards against a second read that only shows that the first one returned everything. */
    @Test
    void waitsForARecordAfterACompleteRead() {
        NewestLog newest = new NewestLog();
        LogReader reader = startReader(newest);
        Waiting.until("a read waits", () -> newest.waitMillis.size() >= 2);
        reader.stop();

        assertThat(entries.get()).isEqualTo(1);
        assertThat(newest.waitMillis)
                .containsExactly(0L, ControlTimes.forKeptLog().pollWaitMillis());
    }

    private LogReader startReader(PlatformLog source) {
        LogReader reader =
                new LogReader(
                        vertx,
                        source,
                        LogStreams.MEMBERSHIP,
                        ControlTimes.forKeptLog(),
                        new Random(1),
                        new CountingListener(),
                        EventLog.create());
        vertx.runOnContext(ignored -> reader.start());
        return reader;
    }

    private static PlatformLog.RawRecord recordOf(long offset) {
        byte[] data =
                LogRecordCodec.encode(
                        new AnnouncementRecord(
                                "node-" + offset, 1, "spots", "a", "127.0.0.1", 1, 2, 4, 8));
        return new PlatformLog.RawRecord(offset, 0, "id-" + offset, Buffer.buffer(data));
    }

    private final class CountingListener implements LogReader.EntryListener {

        @Override
        public void onEntry(LogEntry entry) {
            entries.incrementAndGet();
        }

        @Override
        public void onIgnored(long offset) {}

        @Override
        public void onExpired(long firstOffset) {}
    }

    /** A log to which a node appends whenever another one waits for a record. */
    private static final class BusyLog implements PlatformLog {

        private final AtomicInteger reads = new AtomicInteger();

        @Override
        public Future<Long> append(
                String stream, String subject, String publicationId, byte[] data) {
            return Future.failedFuture("The log is only read.");
        }

        @Override
        public Future<Batch> read(String stream, long from, int max, long waitMillis) {
            reads.incrementAndGet();
            if (waitMillis == 0) {
                return Future.succeededFuture(new Batch(0, from, List.of(), true));
            }
            return Future.succeededFuture(new Batch(0, from + 1, List.of(recordOf(from)), false));
        }

        @Override
        public Future<Void> close() {
            return Future.succeededFuture();
        }
    }

    /** A log whose first read returns the newest records, and whose later reads wait. */
    private static final class NewestLog implements PlatformLog {

        private final List<Long> waitMillis = new CopyOnWriteArrayList<>();

        @Override
        public Future<Long> append(
                String stream, String subject, String publicationId, byte[] data) {
            return Future.failedFuture("The log is only read.");
        }

        @Override
        public Future<Batch> read(String stream, long from, int max, long wait) {
            waitMillis.add(wait);
            return waitMillis.size() == 1
                    ? Future.succeededFuture(new Batch(0, 1, List.of(recordOf(0)), true))
                    : Promise.<Batch>promise().future();
        }

        @Override
        public Future<Void> close() {
            return Future.succeededFuture();
        }
    }
}
