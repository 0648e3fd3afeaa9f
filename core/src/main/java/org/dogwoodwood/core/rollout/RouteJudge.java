package org.dogwoodwood.core.rollout;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;

/** Compares the new version's answers on one route with those of the old version. */
final class RouteJudge {

    // 5 failures beyond the allowed share, about as many as a version with 15 % failures shows
    // within 50 answers; with 1 % failures at both versions, chance exceeds it in less than 1 of
    // 10^6 excursions.
    private static final double FAILURE_SHARE = 0.04;
    private static final double FAILURE_LIMIT = 5;
    private static final double SLOW_SHARE = 0.05;
    private static final double SLOW_LIMIT = 7;

    // The calls in flight and in the queue of one target (6 + 24) end at once when its process
    // ends, which is no fault of the version.
    private static final double DISTURBED_SHARE = 0.1;
    private static final double DISTURBED_LIMIT = 40;

    // Three classes are a factor of 2 to 2.8.
    private static final int SLOW_CLASSES = 3;

    // The old version's answers of the last windows are added until there are enough to compare
    // with; older windows than these say little about the present moment.
    private static final int MIN_BASELINE = 40;
    private static final int MAX_WINDOWS = 12;

    private final Deque<VersionCounts> windows = new ArrayDeque<>();
    private final ExcessDetector failures = new ExcessDetector(FAILURE_SHARE, FAILURE_LIMIT);
    private final ExcessDetector slow = new ExcessDetector(SLOW_SHARE, SLOW_LIMIT);
    private final ExcessDetector disturbed = new ExcessDetector(DISTURBED_SHARE, DISTURBED_LIMIT);

    /** Adds the answers of one window and returns why the new version is bad, if it is. */
    Optional<String> add(RouteEvidence window) {
        windows.addFirst(window.current());
        if (windows.size() > MAX_WINDOWS) {
            windows.removeLast();
        }
        VersionCounts old = baseline();
        VersionCounts next = window.next();
        failures.add(next.ended(), next.failures(), share(old.failures(), old.ended()));
        disturbed.add(next.ended(), next.disturbed(), share(old.disturbed(), old.ended()));
        LatencyClasses oldLatencies = old.latencies();
        if (oldLatencies.total() > 0) {
            int slowClass = oldLatencies.medianClass() + SLOW_CLASSES;
            slow.add(
                    next.latencies().total(),
                    next.latencies().countFrom(slowClass),
                    share(oldLatencies.countFrom(slowClass), oldLatencies.total()));
        }
        return reason("failures", failures)
                .or(() -> reason("slow answers", slow))
                .or(() -> reason("disturbed attempts", disturbed));
    }

    private VersionCounts baseline() {
        VersionCounts sum = VersionCounts.none();
        for (VersionCounts window : windows) {
            sum = sum.plus(window);
            if (sum.ended() >= MIN_BASELINE) {
                break;
            }
        }
        return sum;
    }

    // Without answers, an old version that never fails is assumed.
    private static double share(long bad, long all) {
        return all == 0 ? 0 : (double) bad / all;
    }

    private static Optional<String> reason(String kind, ExcessDetector detector) {
        return detector.isExceeded()
                ? Optional.of(
                        String.format(
                                Locale.ROOT,
                                "%.1f more %s than the old version allows",
                                detector.excess(),
                                kind))
                : Optional.empty();
    }
}
