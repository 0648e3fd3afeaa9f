package org.dogwoodwood.core.balancing;

import org.dogwoodwood.core.model.LoadReport;

/** The newest report of one target and this ingress's own calls to it. */
final class TargetLoad {

    /**
     * The load of a target drifts away from a report within about the time that its calls take, and
     * that of a target with shorter calls within this time.
     */
    private static final double MIN_LOAD_AGEING_NANOS = 20e6;

    /** How fast the service time of a target that does not tell its speed is forgotten. */
    private static final double SERVICE_AGEING_NANOS = 20e6;

    /**
     * Without a new report for this long, a target counts more and more as an ordinary one. It
     * would otherwise never be chosen again after it was once slow or failed, as after a cold
     * start.
     */
    private static final double FORGET_NANOS = 5e9;

    /** How fast the speed that a target told is forgotten; slow phases last about as long. */
    private static final double SPEED_AGEING_NANOS = 600e6;

    /**
     * Means of a few calls differ by chance up to this ratio. Senders that follow such differences
     * all choose the same target; one that is faster than the others shows by its load.
     */
    private static final double SIGNIFICANT_RATIO = 1.5;

    private static final double TYPICAL_WEIGHT = 0.02;
    private static final double NANOS_PER_MICRO = 1_000.0;

    private LoadReport report;
    private long reportNanos;
    private int ownInFlight;
    private int ownSinceReport;
    private double typicalLoad;
    private double typicalServiceNanos;
    private double ownFailureRatio;
    private double typicalSlowdown = 1;

    boolean onReport(LoadReport newReport, long nowNanos) {
        if (report != null && !newReport.isNewerThan(report)) {
            return false;
        }
        boolean first = report == null || report.incarnation() != newReport.incarnation();
        report = newReport;
        reportNanos = nowNanos;
        ownSinceReport = 0;
        double load = newReport.inFlight() + newReport.queued();
        double serviceNanos = newReport.serviceTimeMicros() * NANOS_PER_MICRO;
        double weight = first ? 1.0 : TYPICAL_WEIGHT;
        typicalLoad += weight * (load - typicalLoad);
        typicalServiceNanos += weight * (serviceNanos - typicalServiceNanos);
        if (newReport.tellsSpeed()) {
            typicalSlowdown += TYPICAL_WEIGHT * (newReport.slowdown() - typicalSlowdown);
        }
        return true;
    }

    void onSent() {
        ownInFlight++;
        ownSinceReport++;
    }

    void onEnded(AttemptResult result) {
        ownInFlight = Math.max(0, ownInFlight - 1);
        if (result != AttemptResult.CANCELLED) {
            double failure = result.countsAgainstTarget() ? 1 : 0;
            ownFailureRatio += TYPICAL_WEIGHT * (failure - ownFailureRatio);
        }
    }

    boolean isKnown() {
        return report != null;
    }

    boolean acceptsWork(long incarnation) {
        return report == null || report.incarnation() < incarnation || report.state().acceptsWork();
    }

    boolean tellsSpeed() {
        return report != null && report.tellsSpeed();
    }

    int ownInFlight() {
        return ownInFlight;
    }

    /**
     * Returns the expected number of calls at the target: running, queued and on their way.
     *
     * @param nowNanos the present time in nanoseconds
     * @param ordinaryNanos the service time of an ordinary target of the service, in nanoseconds
     */
    double expectedLoad(long nowNanos, double ordinaryNanos) {
        // Without a told speed, the ordinary time contains the slow phases of other targets.
        double callNanos = report.tellsSpeed() ? ordinaryNanos : 0;
        double ageingNanos = Math.max(MIN_LOAD_AGEING_NANOS, callNanos);
        double weight = reportWeight(ageingNanos, nowNanos);
        double reported = report.inFlight() + report.queued();
        double aged = weight * reported + (1 - weight) * typicalLoad;
        return Math.max(ownInFlight, aged + ownSinceReport);
    }

    int limit() {
        return Math.max(1, report.limit());
    }

    /**
     * Returns the expected service time, in nanoseconds.
     *
     * @param nowNanos the present time in nanoseconds
     * @param ordinaryNanos the service time of an ordinary target of the service, in nanoseconds
     */
    double serviceNanos(long nowNanos, double ordinaryNanos) {
        double memory = memory(nowNanos);
        double recentNanos =
                report.tellsSpeed()
                        ? usualServiceNanos(ordinaryNanos) * toldSlowdown(nowNanos)
                        : recentServiceNanos(nowNanos);
        return memory * recentNanos + (1 - memory) * ordinaryNanos;
    }

    double slowdown(long nowNanos) {
        if (report != null && report.tellsSpeed()) {
            return toldSlowdown(nowNanos);
        }
        return report == null ? 1 : recentServiceNanos(nowNanos) / Math.max(1, typicalServiceNanos);
    }

    double failureRatio(long nowNanos) {
        return memory(nowNanos) * Math.max(report.errorRatio(), ownFailureRatio);
    }

    private double toldSlowdown(long nowNanos) {
        double weight = Math.exp(-Math.max(0, nowNanos - reportNanos) / SPEED_AGEING_NANOS);
        return weight * report.slowdown() + (1 - weight) * typicalSlowdown;
    }

    /** Returns how long calls take at the usual speed of a target that tells its speed. */
    private double usualServiceNanos(double ordinaryNanos) {
        double reported = report.serviceTimeMicros() * NANOS_PER_MICRO;
        return reported > SIGNIFICANT_RATIO * ordinaryNanos ? reported : ordinaryNanos;
    }

    private double recentServiceNanos(long nowNanos) {
        double weight = reportWeight(SERVICE_AGEING_NANOS, nowNanos);
        return weight * report.serviceTimeMicros() * NANOS_PER_MICRO
                + (1 - weight) * typicalServiceNanos;
    }

    private double memory(long nowNanos) {
        return Math.exp(Math.min(0, 1 - (nowNanos - reportNanos) / FORGET_NANOS));
    }

    private double reportWeight(double ageingNanos, long nowNanos) {
        return Math.exp(-Math.max(0, nowNanos - reportNanos) / ageingNanos);
    }
}
