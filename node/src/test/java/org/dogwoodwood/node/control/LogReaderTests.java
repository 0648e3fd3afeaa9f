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
     * Guards against reads by every node for each announcement: when many nodes start, the number
     * of reads would be quadratic in the number of nodes.
     */
    @Test
    void pausesAfterReadsThatReturnedRecords() {
        LogReader reader = startReader(log);
        Waiting.until("a record was read", () -> entries.get() > 0);
        Waiting.sleep(3_000);
        reader.stop();

        // One read of the newest records, one at the end, and reads after pauses that double.
        assertThat(log.reads.get()).isLessThanOrEqualTo(6);
    }

    /**
     * Guards against a read after each announcement of the first seconds: a few reads suffice to
     * discover some members, and gossip disseminates the others.
     */
    @Test
    void limitsReadsInTheFirstSeconds() {
        LogReader reader = startReader(log);
        Waiting.until("a record was read", () -> entries.get() > 0);
        Waiting.sleep(6_500);
        reader.stop();

        // The end of the log, the first record, and one read after each of two short pauses.
        assertThat(log.reads.get()).isEqualTo(4);
    }

    /** Guards against a second read that only confirms that the first one was complete. */
    @Test
    void waitsForRecordAfterCompleteRead() {
        IdleLog idleLog = new IdleLog();
        LogReader reader = startReader(idleLog);
        Waiting.until("a read waits", () -> idleLog.waitMillis.size() >= 2);
        reader.stop();

        assertThat(entries.get()).isEqualTo(1);
        assertThat(idleLog.waitMillis)
                .containsExactly(0L, ControlTimings.forCompactedLog().pollWaitMillis());
    }

    private LogReader startReader(PlatformLog source) {
        LogReader reader =
                new LogReader(
                        vertx,
                        source,
                        LogStreams.MEMBERSHIP,
                        ControlTimings.forCompactedLog(),
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

    /** A log in which every long poll returns a new record. */
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

    /** A log whose first read returns the newest record and whose later reads wait forever. */
    private static final class IdleLog implements PlatformLog {

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
