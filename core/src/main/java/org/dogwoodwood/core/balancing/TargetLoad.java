package org.dogwoodwood.core.balancing;

import java.util.Optional;
import org.dogwoodwood.core.model.LoadReport;

/** The newest load report of one target and this ingress's own calls to it. */
final class TargetLoad {

    /**
     * Minimum time constant for the decay of a reported load. The load of a target departs from its
     * report within about one service time, or within this time if calls are shorter.
     */
    private static final double MIN_LOAD_DECAY_NANOS = 20e6;

    /**
     * Time constant for the decay of the reported service time of a target that does not report its
     * slowdown.
     */
    private static final double SERVICE_TIME_DECAY_NANOS = 20e6;

    /**
     * Age from which a report loses weight against the mean of all targets. Otherwise a target that
     * was once slow or failing, such as after a cold start, would never be chosen again.
     */
    private static final double STALE_REPORT_NANOS = 5e9;

    private static final long RECENT_REPORT_NANOS = 2_000_000_000L;

    /** Time constant for the decay of a reported slowdown; slow phases last about as long. */
    private static final double SLOWDOWN_DECAY_NANOS = 600e6;

    /**
     * Means of a few calls differ randomly up to this ratio. If senders followed such differences,
     * they would all choose the same target; a target that is really faster has a lower load
     * anyway.
     */
    private static final double SIGNIFICANT_RATIO = 1.5;

    /** Weight of one value in the moving means. */
    private static final double MEAN_WEIGHT = 0.02;

    private static final double NANOS_PER_MICRO = 1_000.0;

    private LoadReport report;
    private long reportNanos;
    private int ownInFlight;
    private int sentSinceReport;
    private double meanLoad;
    private double meanServiceNanos;
    private double ownFailureRatio;
    private double reportedFailureRatio;
    private double meanSlowdown = 1;
    private Optional<CrossingWindow> crossing = Optional.empty();

    /** Sets the window of the target's data centre, if that is not the local one. */
    void setCrossing(CrossingWindow window) {
        crossing = Optional.of(window);
    }

    boolean onReport(LoadReport newReport, long nowNanos) {
        if (report != null && !newReport.isNewerThan(report)) {
            return false;
        }
        boolean first = report == null || report.incarnation() != newReport.incarnation();
        report = newReport;
        reportNanos = nowNanos;
        reportedFailureRatio = newReport.errorRatio();
        sentSinceReport = 0;
        double load = newReport.inFlight() + newReport.queued();
        double serviceNanos = newReport.serviceTimeMicros() * NANOS_PER_MICRO;
        double weight = first ? 1.0 : MEAN_WEIGHT;
        meanLoad += weight * (load - meanLoad);
        meanServiceNanos += weight * (serviceNanos - meanServiceNanos);
        if (newReport.hasSlowdown()) {
            meanSlowdown += MEAN_WEIGHT * (newReport.slowdown() - meanSlowdown);
        }
        return true;
    }

    void onSent() {
        ownInFlight++;
        sentSinceReport++;
        crossing.ifPresent(CrossingWindow::onSent);
    }

    void onEnded(AttemptResult result, long nowNanos) {
        crossing.ifPresent(window -> window.onEnded(result, nowNanos));
        ownInFlight = Math.max(0, ownInFlight - 1);
        if (result != AttemptResult.CANCELLED) {
            double failure = result.countsAgainstTarget() ? 1 : 0;
            ownFailureRatio += MEAN_WEIGHT * (failure - ownFailureRatio);
        }
    }

    /** Forgets the failures of a target that was gone and is there again. */
    void forgetFailures() {
        ownFailureRatio = 0;
        reportedFailureRatio = 0;
    }

    boolean hasReport() {
        return report != null;
    }

    /** Returns whether the report is recent enough to count towards the free capacity. */
    boolean hasRecentReport(long nowNanos) {
        return report != null && nowNanos - reportNanos <= RECENT_REPORT_NANOS;
    }

    /**
     * Returns whether a candidate accepts work. A candidate is a target that accepts work according
     * to the membership; only a newer report overrides that.
     */
    boolean acceptsWork(Candidate candidate) {
        return report == null
                || report.isStateOlderThan(candidate.incarnation(), candidate.stateVersion())
                || report.state().acceptsWork();
    }

    boolean reportsSlowdown() {
        return report != null && report.hasSlowdown();
    }

    int ownInFlight() {
        return ownInFlight;
    }

    /**
     * Returns the expected number of calls at the target: running, queued and in transit.
     *
     * @param nowNanos the current time in nanoseconds
     * @param overallNanos the mean service time over all targets of the service, in nanoseconds
     * @param knownFreeSlots the free slots of each target of its data centre, by a newer report
     *     than that of the target; NaN if there is none
     */
    double expectedLoad(long nowNanos, double overallNanos, double knownFreeSlots) {
        // If no slowdown is reported, the overall mean includes slow phases of other targets.
        double callNanos = report.hasSlowdown() ? overallNanos : 0;
        double decayNanos = Math.max(MIN_LOAD_DECAY_NANOS, callNanos);
        double weight = reportWeight(decayNanos, nowNanos);
        double reported = report.inFlight() + report.queued();
        double usual = Double.isNaN(knownFreeSlots) ? meanLoad : limit() - knownFreeSlots;
        double aged = weight * reported + (1 - weight) * usual;
        return Math.max(ownInFlight, aged + sentSinceReport);
    }

    int limit() {
        return Math.max(1, report.limit());
    }

    /**
     * Returns the expected service time, in nanoseconds.
     *
     * @param nowNanos the current time in nanoseconds
     * @param overallNanos the mean service time over all targets of the service, in nanoseconds
     */
    double serviceNanos(long nowNanos, double overallNanos) {
        double freshness = freshness(nowNanos);
        double recentNanos =
                report.hasSlowdown()
                        ? usualServiceNanos(overallNanos) * expectedSlowdown(nowNanos)
                        : recentServiceNanos(nowNanos);
        return freshness * recentNanos + (1 - freshness) * overallNanos;
    }

    double slowdown(long nowNanos) {
        if (report != null && report.hasSlowdown()) {
            return expectedSlowdown(nowNanos);
        }
        return report == null ? 1 : recentServiceNanos(nowNanos) / Math.max(1, meanServiceNanos);
    }

    double failureRatio(long nowNanos) {
        return freshness(nowNanos) * Math.max(reportedFailureRatio, ownFailureRatio);
    }

    private double expectedSlowdown(long nowNanos) {
        double weight = Math.exp(-Math.max(0, nowNanos - reportNanos) / SLOWDOWN_DECAY_NANOS);
        return weight * report.slowdown() + (1 - weight) * meanSlowdown;
    }

    /**
     * Returns the service time at the usual speed of a target that reports its slowdown, in
     * nanoseconds.
     */
    private double usualServiceNanos(double overallNanos) {
        double reported = report.serviceTimeMicros() * NANOS_PER_MICRO;
        return reported > SIGNIFICANT_RATIO * overallNanos ? reported : overallNanos;
    }

    private double recentServiceNanos(long nowNanos) {
        double weight = reportWeight(SERVICE_TIME_DECAY_NANOS, nowNanos);
        return weight * report.serviceTimeMicros() * NANOS_PER_MICRO
                + (1 - weight) * meanServiceNanos;
    }

    /** Returns the weight of the report against the mean of all targets, from 0 to 1. */
    private double freshness(long nowNanos) {
        return Math.exp(Math.min(0, 1 - (nowNanos - reportNanos) / STALE_REPORT_NANOS));
    }

    private double reportWeight(double decayNanos, long nowNanos) {
        return Math.exp(-Math.max(0, nowNanos - reportNanos) / decayNanos);
    }
}
