package org.dogwoodwood.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.dogwoodwood.core.health.CrashKind;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a member that never learns which requests crashed targets on trial. */
class CrashGossipTests {

    private static final int BUDGET_BYTES = 10_000;
    private static final int MEMBERS = 4;
    private static final NodeId GUARD = NodeId.of("guard");

    private final CrashGossip gossip = new CrashGossip();

    @BeforeEach
    void spreadEachReportAsOftenAsItIs() {
        gossip.onMemberChanged(member(1, Liveness.ALIVE));
        gossip.add(report(7, CrashKind.TRIAL_CRASHED), 0);
        gossip.add(report(7, CrashKind.CLEARED), 0);
        gossip.add(report(8, CrashKind.CRASHED), 0);
        while (!gossip.isEmpty()) {
            gossip.take(BUDGET_BYTES, MEMBERS, 0);
        }
    }

    @Test
    void aProcessThatBeginsIsToldOfTrials() {
        gossip.onMemberChanged(member(2, Liveness.ALIVE));
        assertThat(gossip.take(BUDGET_BYTES, MEMBERS, 0))
                .extracting(CrashReport::fingerprint)
                .containsOnly(7L);
    }

    @Test
    void aMemberThatWasCutOffIsToldOfTrials() {
        gossip.onMemberChanged(member(1, Liveness.DEAD));
        assertThat(gossip.isEmpty()).isTrue();
        gossip.onMemberChanged(member(1, Liveness.ALIVE));
        assertThat(gossip.take(BUDGET_BYTES, MEMBERS, 0)).hasSize(2);
    }

    @Test
    void aMemberThatChangesOtherwiseIsToldNothing() {
        gossip.onMemberChanged(member(1, Liveness.SUSPECT));
        gossip.onMemberChanged(member(1, Liveness.ALIVE));
        assertThat(gossip.isEmpty()).isTrue();
    }

    private static CrashReport report(long fingerprint, CrashKind kind) {
        return new CrashReport(fingerprint, kind, GUARD, 1, 0, 0);
    }

    private static Member member(long incarnation, Liveness liveness) {
        return new Member(
                NodeId.of("member"),
                incarnation,
                1,
                liveness,
                true,
                false,
                new NodeAddress("dc", "10.0.0.1", 7_000, 8_000),
                new MemberTarget("service", 18, 240, TargetState.WARM));
    }
}
