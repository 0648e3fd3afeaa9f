package org.dogwoodwood.node.control;

import java.util.List;
import java.util.Objects;
import java.util.Set;
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

    /** Handles the requests that were in flight when the target beside this node crashed. */
    void onCrash(Set<Long> fingerprints) {
        long now = System.nanoTime();
        spread(evidence.onCrash(fingerprints, now), now);
    }

    /** Handles the request that was on trial when the target beside this node crashed. */
    void onTrialCrash(long fingerprint) {
        long now = System.nanoTime();
        spread(evidence.onTrialCrash(fingerprint, now), now);
    }

    /** Handles requests that a target answered. */
    void onCleared(Set<Long> fingerprints) {
        long now = System.nanoTime();
        spread(evidence.onCleared(fingerprints, now), now);
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
