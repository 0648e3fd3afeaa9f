package org.dogwoodwood.node.metrics;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Writes a registry in the Prometheus text format, version 0.0.4. */
final class PrometheusText {

    private static final List<Double> QUANTILES = List.of(0.5, 0.9, 0.99, 0.999);

    private final StringBuilder out = new StringBuilder(4096);
    private final Set<String> typedNames = new HashSet<>();

    private PrometheusText() {}

    static String of(MetricRegistry registry) {
        PrometheusText text = new PrometheusText();
        for (Map.Entry<String, Counter> entry : registry.getCounters().entrySet()) {
            text.value(Series.parse(entry.getKey()), "counter", entry.getValue().getCount());
        }
        registry.getGauges().forEach((key, gauge) -> text.gauge(Series.parse(key), gauge));
        for (Map.Entry<String, Histogram> entry : registry.getHistograms().entrySet()) {
            text.summary(Series.parse(entry.getKey()), entry.getValue());
        }
        return text.out.toString();
    }

    private void gauge(Series series, Gauge<?> gauge) {
        if (gauge.getValue() instanceof Number number) {
            value(series, "gauge", number);
        }
    }

    private void value(Series series, String type, Number value) {
        type(series.name(), type);
        line(series.name(), series.labelsWith(""), value);
    }

    private void summary(Series series, Histogram histogram) {
        type(series.name(), "summary");
        Snapshot snapshot = histogram.getSnapshot();
        for (double quantile : QUANTILES) {
            String label = "quantile=\"" + quantile + "\"";
            line(series.name(), series.labelsWith(label), snapshot.getValue(quantile));
        }
        line(series.name() + "_count", series.labelsWith(""), histogram.getCount());
    }

    private void type(String name, String type) {
        if (typedNames.add(name)) {
            out.append("# TYPE ").append(name).append(' ').append(type).append('\n');
        }
    }

    private void line(String name, String labels, Number value) {
        out.append(name).append(labels).append(' ').append(value).append('\n');
    }
}
