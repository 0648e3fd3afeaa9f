package org.dogwoodwood.node.control;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.core.health.TrialCrash;
import org.dogwoodwood.core.membership.CrashReport;
import org.dogwoodwood.core.membership.GossipStrategy;

/**
 * Applies what this node observes of requests that may crash targets, and spreads it; used on the
 * control thread.
 */
final class CrashReports {

    private final CrashEvidence evidence;
    private final GossipStrategy strategy;
    private final GossipExchanger exchanger;
    private final RoutingTablePublisher publisher;

    CrashReports(
            CrashEvidence evidence,
            GossipStrategy strategy,
            GossipExchanger exchanger,
            RoutingTablePublisher publisher) {
        this.evidence = Objects.requireNonNull(evidence, "evidence");
        this.strategy = Objects.requireNonNull(strategy, "strategy");
        this.exchanger = Objects.requireNonNull(exchanger, "exchanger");
        this.publisher = Objects.requireNonNull(publisher, "publisher");
    }

    /** Handles a crash of the target beside this node. */
    void onCrash(Set<Long> inFlight, Optional<TrialCrash> tried) {
        long now = System.nanoTime();
        spread(evidence.onCrash(inFlight, tried, now), now);
    }

    /** Handles an answer of a target to a request, which may be an earlier one. */
    void onAnswered(long fingerprint, long ageNanos) {
        long now = System.nanoTime();
        spread(evidence.onAnswered(fingerprint, ageNanos, now), now);
    }

    private void spread(List<CrashReport> reports, long nowNanos) {
        if (reports.isEmpty()) {
            return;
        }
        reports.forEach(report -> strategy.onCrashReport(report, nowNanos));
        exchanger.requestExtraRound();
        publisher.schedule();
    }
}
