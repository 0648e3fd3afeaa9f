package org.dogwoodwood.node.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.health.CrashFingerprintRegistry;
import org.dogwoodwood.core.health.CrashKind;
import org.dogwoodwood.core.health.CrashRecord;
import org.dogwoodwood.core.health.CrashSuspicion;
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
     * Returns evidence that is kept as the default policy says.
     *
     * @param node this node
     * @param incarnation its incarnation, from which target incarnations are counted up per crash
     */
    static RegistryCrashEvidence create(NodeId node, long incarnation) {
        return new RegistryCrashEvidence(
                node,
                incarnation,
                CrashFingerprintRegistry.create(
                        TimeUnit.SECONDS.toNanos(PolicyDefinition.DEFAULT_CRASH_HOLD_SECONDS)));
    }

    @Override
    public List<CrashReport> onCrash(Set<Long> fingerprints, long nowNanos) {
        targetIncarnation++;
        return recordReports(CrashKind.CRASHED, fingerprints, nowNanos);
    }

    @Override
    public List<CrashReport> onTrialCrash(long fingerprint, long nowNanos) {
        targetIncarnation++;
        return recordReports(CrashKind.TRIAL_CRASHED, Set.of(fingerprint), nowNanos);
    }

    @Override
    public List<CrashReport> onCleared(Set<Long> fingerprints, long nowNanos) {
        Set<Long> suspect = new HashSet<>(fingerprints);
        suspect.removeIf(fingerprint -> registry.suspicion(fingerprint, nowNanos).isEmpty());
        return recordReports(CrashKind.CLEARED, suspect, nowNanos);
    }

    @Override
    public void merge(List<CrashReport> reports, long nowNanos) {
        registry.merge(reports.stream().map(RegistryCrashEvidence::toRecord).toList(), nowNanos);
    }

    @Override
    public void setHoldNanos(long holdNanos) {
        registry.setHoldNanos(holdNanos);
    }

    @Override
    public Map<Long, CrashSuspicion> suspicions(long nowNanos) {
        return registry.suspicions(nowNanos);
    }

    private List<CrashReport> recordReports(CrashKind kind, Set<Long> fingerprints, long nowNanos) {
        sequence++;
        List<CrashReport> reports = new ArrayList<>();
        for (long fingerprint : fingerprints) {
            reports.add(new CrashReport(fingerprint, kind, node, targetIncarnation, sequence, 0));
        }
        merge(reports, nowNanos);
        return reports;
    }

    private static CrashRecord toRecord(CrashReport report) {
        return new CrashRecord(
                report.fingerprint(),
                report.kind(),
                report.guard(),
                report.targetIncarnation(),
                report.sequence(),
                TimeUnit.MILLISECONDS.toNanos(report.ageMillis()));
    }
}
