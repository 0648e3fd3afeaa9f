package org.dogwoodwood.node.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.health.CrashFingerprintRegistry;
import org.dogwoodwood.core.health.CrashRecord;
import org.dogwoodwood.core.health.CrashStatus;
import org.dogwoodwood.core.membership.CrashReport;
import org.dogwoodwood.core.model.NodeId;

/** Crash evidence that is stored in a {@link CrashFingerprintRegistry}. */
final class RegistryCrashEvidence implements CrashEvidence {

    private final NodeId node;
    private final CrashFingerprintRegistry registry;
    private long targetIncarnation;
    private long sequence;

    private RegistryCrashEvidence(
            NodeId node, long initialTargetIncarnation, CrashFingerprintRegistry registry) {
        this.node = node;
        this.targetIncarnation = initialTargetIncarnation;
        this.registry = registry;
    }

    /**
     * Returns evidence with the default policy.
     *
     * @param node this node
     * @param incarnation its incarnation, from which target incarnations are counted up per crash
     */
    static RegistryCrashEvidence create(NodeId node, long incarnation) {
        return new RegistryCrashEvidence(
                node,
                incarnation,
                CrashFingerprintRegistry.create(
                        PolicyDefinition.DEFAULT_CRASH_LIMIT,
                        TimeUnit.SECONDS.toNanos(PolicyDefinition.DEFAULT_CRASH_HOLD_SECONDS)));
    }

    @Override
    public List<CrashReport> onCrash(Set<Long> fingerprints, long nowNanos) {
        targetIncarnation++;
        return recordReports(CrashReport.Kind.CRASHED, fingerprints, nowNanos);
    }

    @Override
    public List<CrashReport> onCleared(Set<Long> fingerprints, long nowNanos) {
        return recordReports(CrashReport.Kind.CLEARED, fingerprints, nowNanos);
    }

    @Override
    public void merge(List<CrashReport> reports, long nowNanos) {
        registry.merge(reports.stream().map(RegistryCrashEvidence::toRecord).toList(), nowNanos);
    }

    @Override
    public Set<Long> blockedFingerprints(long nowNanos) {
        return registry.fingerprints(CrashStatus.BLOCKED, nowNanos);
    }

    @Override
    public Set<Long> suspectFingerprints(long nowNanos) {
        return registry.fingerprints(CrashStatus.SUSPECT, nowNanos);
    }

    private List<CrashReport> recordReports(
            CrashReport.Kind kind, Set<Long> fingerprints, long nowNanos) {
        sequence++;
        List<CrashReport> reports = new ArrayList<>();
        for (long fingerprint : fingerprints) {
            reports.add(new CrashReport(fingerprint, kind, node, targetIncarnation, sequence, 0));
        }
        merge(reports, nowNanos);
        return reports;
    }

    private static CrashRecord toRecord(CrashReport report) {
        CrashRecord.Kind kind =
                report.kind() == CrashReport.Kind.CRASHED
                        ? CrashRecord.Kind.CRASHED
                        : CrashRecord.Kind.CLEARED;
        return new CrashRecord(
                report.fingerprint(),
                kind,
                report.guard(),
                report.targetIncarnation(),
                report.sequence(),
                TimeUnit.MILLISECONDS.toNanos(report.ageMillis()));
    }
}
