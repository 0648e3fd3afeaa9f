package org.dogwoodwood.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * The share of the calls of each account that were started, of those that were started or finally
 * refused, over the last 10 to 20 s.
 */
final class ServedShares {

    private static final long WINDOW_NANOS = 10_000_000_000L;
    private static final int MAX_ACCOUNTS = 1_000;
    private static final int WORST_PART = 10;

    private Map<String, Counts> current = new HashMap<>();
    private Map<String, Counts> previous = new HashMap<>();
    private long windowStartNanos;

    ServedShares(long nowNanos) {
        windowStartNanos = nowNanos;
    }

    void onServed(String account, long nowNanos) {
        count(account, 1, 0, nowNanos);
    }

    void onRefused(String account, long nowNanos) {
        count(account, 0, 1, nowNanos);
    }

    /**
     * Returns the mean share of the worst tenth of the accounts, at least one; 1 if none called.
     */
    double worstTenth(long nowNanos) {
        advance(nowNanos);
        Map<String, Counts> all = new HashMap<>(previous);
        current.forEach((account, counts) -> all.merge(account, counts, Counts::plus));
        return all.values().stream()
                .mapToDouble(Counts::servedShare)
                .sorted()
                .limit((all.size() + WORST_PART - 1) / WORST_PART)
                .average()
                .orElse(1);
    }

    private void count(String account, int served, int refused, long nowNanos) {
        advance(nowNanos);
        if (current.size() < MAX_ACCOUNTS || current.containsKey(account)) {
            current.merge(account, new Counts(served, refused), Counts::plus);
        }
    }

    private void advance(long nowNanos) {
        long age = nowNanos - windowStartNanos;
        if (age >= WINDOW_NANOS) {
            previous = age < 2 * WINDOW_NANOS ? current : new HashMap<>();
            current = new HashMap<>();
            windowStartNanos = nowNanos;
        }
    }

    private record Counts(long served, long refused) {

        Counts plus(Counts other) {
            return new Counts(served + other.served, refused + other.refused);
        }

        double servedShare() {
            return (double) served / (served + refused);
        }
    }
}
