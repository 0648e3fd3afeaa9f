package org.dogwoodwood.core.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Judges a new version beside the old one, on each route and on all together. Not thread-safe. */
final class VersionJudge {

    private static final String ALL_ROUTES = "";

    // Enough to notice a version with a tenth of slow answers in nine of ten cases.
    private static final long MIN_ANSWERS = 30;
    private static final long MIN_COMPARABLE = 20;
    private static final double MIN_COMPARABLE_SHARE = 0.1;

    private final Map<String, RouteJudge> routes = new HashMap<>();
    private VersionCounts next = VersionCounts.none();
    private Optional<String> reason = Optional.empty();

    /** Adds the evidence of one window. */
    void add(Map<String, RouteEvidence> window) {
        RouteEvidence sum = RouteEvidence.none();
        for (Map.Entry<String, RouteEvidence> entry : window.entrySet()) {
            sum = sum.plus(entry.getValue());
            judge(entry.getKey(), entry.getValue(), " on route " + entry.getKey());
        }
        next = next.plus(sum.next());
        // Latencies of different routes are not comparable, and the mix of routes may differ.
        judge(ALL_ROUTES, withoutLatencies(sum), " on all routes");
    }

    /** Returns why the version is bad, or empty if it is not known to be bad. */
    Optional<String> reason() {
        return reason;
    }

    /** Returns the ended attempts at the new version. */
    long answers() {
        return next.ended();
    }

    /** Returns whether the answers suffice to call the version good. */
    boolean hasEnoughEvidence() {
        long comparable = next.latencies().total();
        return next.ended() >= MIN_ANSWERS
                && comparable >= MIN_COMPARABLE
                && comparable >= next.ended() * MIN_COMPARABLE_SHARE;
    }

    private void judge(String route, RouteEvidence evidence, String where) {
        Optional<String> found =
                routes.computeIfAbsent(route, name -> new RouteJudge()).add(evidence);
        if (reason.isEmpty()) {
            reason = found.map(text -> text + where);
        }
    }

    private static RouteEvidence withoutLatencies(RouteEvidence evidence) {
        return new RouteEvidence(
                withoutLatencies(evidence.current()), withoutLatencies(evidence.next()));
    }

    private static VersionCounts withoutLatencies(VersionCounts counts) {
        return new VersionCounts(
                counts.sent(),
                counts.ended(),
                counts.failures(),
                counts.disturbed(),
                LatencyClasses.empty());
    }
}
