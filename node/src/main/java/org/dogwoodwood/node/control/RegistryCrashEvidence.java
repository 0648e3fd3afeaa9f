package org.dogwoodwood.node.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.health.CrashFingerprintRegistry;
import org.dogwoodwood.core.health.CrashKind;
import org.dogwoodwood.core.health.CrashRecord;
import org.dogwoodwood.core.health.CrashSuspicion;
import org.dogwoodwood.core.health.TrialCrash;
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
    public List<CrashReport> onCrash(
            Set<Long> inFlight, Optional<TrialCrash> tried, long nowNanos) {
        targetIncarnation++;
        List<CrashReport> reports =
                CrashFingerprintRegistry.recordsOfCrash(node, targetIncarnation, inFlight, tried)
                        .stream()
                        .map(RegistryCrashEvidence::toReport)
                        .toList();
        merge(reports, nowNanos);
        return reports;
    }

    @Override
    public List<CrashReport> onAnswered(long fingerprint, long ageNanos, long nowNanos) {
        if (!registry.isNewsOfAnswer(fingerprint, ageNanos, nowNanos)) {
            return List.of();
        }
        sequence++;
        List<CrashReport> reports =
                List.of(
                        new CrashReport(
                                fingerprint,
                                CrashKind.CLEARED,
                                node,
                                targetIncarnation,
                                sequence,
                                TimeUnit.NANOSECONDS.toMillis(ageNanos)));
        merge(reports, nowNanos);
        return reports;
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

    private static CrashReport toReport(CrashRecord record) {
        return new CrashReport(
                record.fingerprint(),
                record.kind(),
                record.guard(),
                record.targetIncarnation(),
                record.sequence(),
                TimeUnit.NANOSECONDS.toMillis(record.ageNanos()));
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
