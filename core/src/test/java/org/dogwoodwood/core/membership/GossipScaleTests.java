package org.dogwoodwood.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetState;
import org.junit.jupiter.api.Test;

class GossipScaleTests {

    private static final int MEMBERS = 23_000;
    private static final int EXCHANGES = 2_000;
    // A node sends 12 requests and answers 12 requests per second.
    private static final int EXCHANGES_PER_SECOND = 24;

    /** Guards against gossip whose cost per exchange grows with the number of members. */
    @Test
    void exchangeWith23000MembersStaysWithinCpuBudget() {
        GossipStrategy[] strategies = new GossipStrategy[2];
        MembershipTable[] tables = new MembershipTable[2];
        for (int i = 0; i < 2; i++) {
            tables[i] =
                    MembershipTable.create(
                            member(i), MembershipTimings.defaults(), changed -> {}, 0);
            for (int other = 0; other < MEMBERS; other++) {
                tables[i].merge(member(other), 0);
            }
            strategies[i] =
                    GossipStrategy.create(tables[i], DataCentreOrders.create(), new Random(i));
        }
        exchange(strategies);
        long start = System.nanoTime();
        exchange(strategies);
        double microsPerExchange = (System.nanoTime() - start) / 1e3 / EXCHANGES;
        double coreShare = microsPerExchange * EXCHANGES_PER_SECOND / 1e6;
        System.out.printf(
                "gossip: members=%d us_per_exchange=%.1f core_share=%.4f%n",
                MEMBERS, microsPerExchange, coreShare);
        assertThat(coreShare).isLessThan(0.042);
    }

    private static void exchange(GossipStrategy[] strategies) {
        for (int i = 0; i < EXCHANGES; i++) {
            strategies[0].selectPeers();
            GossipMessage reply = strategies[1].reply(strategies[0].request(1), 1);
            strategies[0].receive(reply, 1);
        }
    }

    private static Member member(int index) {
        return new Member(
                NodeId.of("node-" + index),
                1_700_000_000_000L,
                1,
                Liveness.ALIVE,
                true,
                false,
                new NodeAddress("dc-" + index % 34, "10.0.0.1", 7_000, 8_000),
                new MemberTarget("service-" + index % 970, 18, 240, TargetState.WARM));
    }
}
