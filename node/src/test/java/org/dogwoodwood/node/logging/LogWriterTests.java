package org.dogwoodwood.node.logging;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Guards against a reader of the log that stalls delaying calls or filling the memory. */
class LogWriterTests {

    private static final int LINES = 20_000;

    @Test
    void neitherBlocksNorQueuesWithoutBoundWhileTheReaderStalls() {
        CountDownLatch reading = new CountDownLatch(1);
        List<LogWriter.Line> read = Collections.synchronizedList(new ArrayList<>());
        LogWriter writer =
                LogWriter.start(
                        line -> {
                            awaitQuietly(reading);
                            read.add(line);
                        });
        long startNanos = System.nanoTime();
        for (int i = 0; i < LINES; i++) {
            writer.write(new LogWriter.Line(Severity.INFO, "line " + i));
        }
        assertThat(System.nanoTime() - startNanos).isLessThan(1_000_000_000L);
        assertThat(writer.dropped()).isGreaterThan(0);

        reading.countDown();
        writer.flush();
        assertThat(read.size() + writer.dropped()).isEqualTo(LINES);
        assertThat(read.get(0).text()).isEqualTo("line 0");
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
