package org.dogwoodwood.node.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.Snapshot;
import org.junit.jupiter.api.Test;

/** Guards against metrics that lose the tail, grow without bound or violate the text format. */
class NodeMetricsTests {

    @Test
    void keepsTheTailOfLatencies() {
        HdrReservoir reservoir = new HdrReservoir();
        for (int i = 0; i < 100_000; i++) {
            reservoir.update(i < 99_890 ? 100 : 50_000);
        }
        reservoir.update(-5);
        reservoir.update(Long.MAX_VALUE);

        Snapshot snapshot = reservoir.getSnapshot();
        assertThat(snapshot.getValue(0.99)).isBetween(99.0, 101.0);
        assertThat(snapshot.getValue(0.9995)).isBetween(49_000.0, 51_000.0);
        assertThat(snapshot.getMin()).isZero();
        assertThat(snapshot.size()).isEqualTo(100_002);
    }

    @Test
    void boundsTheSeriesOfServicesAndClasses() {
        NodeMetrics metrics = NodeMetrics.create();
        for (int i = 0; i < 2_000; i++) {
            metrics.onAnswered("service", "class-" + i, 200, 1_000);
        }
        String text = metrics.prometheusText();

        assertThat(text.lines().filter(line -> line.contains("_count"))).hasSizeLessThan(520);
        assertThat(text).contains("_count{service=\"other\",class=\"other\"} 1488");
    }

    // Mostly late and failed attempts are logged, so averages over log lines are biased; the
    // metrics
    // must cover all attempts.
    @Test
    void recordsTheTimesOfAllAttemptsAtATarget() {
        NodeMetrics metrics = NodeMetrics.create();
        metrics.onTargetResult("shop", "gold", false, 0, 100_000_000);
        metrics.onTargetResult("shop", "gold", true, 20_000_000, 700_000_000);

        assertThat(metrics.prometheusText())
                .contains("wait_microseconds_count{service=\"shop\",class=\"gold\"} 2")
                .contains(
                        "time_microseconds_count{service=\"shop\",class=\"gold\",start=\"usual\"}"
                                + " 1")
                .contains(
                        "time_microseconds_count{service=\"shop\",class=\"gold\",start=\"slow\"}"
                                + " 1");
    }

    @Test
    void escapesLabels() {
        NodeMetrics metrics = NodeMetrics.create();
        metrics.onAnswered("a\"b\\c\nd{}", "x", 503, 1_000);

        assertThat(metrics.prometheusText())
                .contains("dogwoodwood_answers_total{service=\"a\\\"b\\\\c\\nd{}\",class=\"x\",");
    }
}
