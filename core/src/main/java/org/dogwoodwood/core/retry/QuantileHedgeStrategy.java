package org.dogwoodwood.core.retry;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.Objects;
import java.util.OptionalLong;
import org.HdrHistogram.Histogram;

/** Hedges a call once it has taken longer than a quantile of the recent latencies. */
public final class QuantileHedgeStrategy implements HedgeStrategy {

    private static final long RECHECK_NANOS = 10_000_000;
    private static final int WINDOW_CALLS = 2_000;
    private static final int MIN_CALLS = 200;
    private static final int REFRESH_CALLS = 100;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MAX_MICROS = 60_000_000;
    private static final double PERCENT = 100.0;

    private final double quantile;
    private final HedgeBudget budget;
    private Histogram current = newHistogram();
    private Histogram previous = newHistogram();
    private OptionalLong delayNanos = OptionalLong.empty();

    private QuantileHedgeStrategy(double quantile, HedgeBudget budget) {
        this.quantile = quantile;
        this.budget = Objects.requireNonNull(budget, "budget");
    }

    /**
     * Returns a strategy that sends no hedges until it has recorded enough latencies.
     *
     * @param quantile the quantile, from 0 (inclusive) to 1 (exclusive); 0 for no hedges
     * @param budget the budget of hedges, not null
     */
    public static QuantileHedgeStrategy create(double quantile, HedgeBudget budget) {
        checkArgument(quantile >= 0 && quantile < 1, "The quantile must be from 0 to below 1.");
        return new QuantileHedgeStrategy(quantile, budget);
    }

    @Override
    public void onAnswered(long latencyNanos) {
        long micros = Math.max(0, latencyNanos / NANOS_PER_MICRO);
        current.recordValue(Math.min(MAX_MICROS, micros));
        long count = current.getTotalCount();
        if (count % REFRESH_CALLS == 0) {
            refresh();
        }
        if (count >= WINDOW_CALLS) {
            Histogram emptied = previous;
            emptied.reset();
            previous = current;
            current = emptied;
        }
    }

    @Override
    public OptionalLong delayNanos() {
        return delayNanos;
    }

    @Override
    public long recheckNanos() {
        return RECHECK_NANOS;
    }

    @Override
    public boolean tryHedge() {
        return budget.trySpend();
    }

    private void refresh() {
        Histogram source = previous.getTotalCount() > 0 ? previous : current;
        if (quantile > 0 && source.getTotalCount() >= MIN_CALLS) {
            long micros = source.getValueAtPercentile(quantile * PERCENT);
            delayNanos = OptionalLong.of(micros * NANOS_PER_MICRO);
        }
    }

    private static Histogram newHistogram() {
        return new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    }
}
