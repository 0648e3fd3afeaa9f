package org.dogwoodwood.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.dogwoodwood.core.model.NodeId;
import org.junit.jupiter.api.Test;

/** Guards against leaves that nodes teach each other again and again, so that they never expire. */
class TargetLeavesTests {

    private static final long SECOND = 1_000_000_000L;
    private static final long RETENTION = 600 * SECOND;
    private static final int BUDGET_BYTES = 1_000;
    private static final int MEMBERS = 3;
    private static final NodeId NODE = NodeId.of("node");

    private final TargetLeaves one = TargetLeaves.create();
    private final TargetLeaves other = TargetLeaves.create();

    @Test
    void aLeaveExpiresThoughNodesExchangeItAllTheTime() {
        one.add(leave("i-1", 100), 0);
        for (long now = 0; now <= RETENTION + 10 * SECOND; now += SECOND) {
            send(one, other, now);
            send(other, one, now);
        }
        assertThat(one.of(NODE)).isEmpty();
        assertThat(other.of(NODE)).isEmpty();
    }

    @Test
    void eachMessageToANodeCarriesItsOwnLeaves() {
        one.add(leave("i-1", 100), 0);
        for (int message = 0; message < 100; message++) {
            assertThat(one.take(Optional.of(NODE), 0, MEMBERS, 1)).hasSize(1);
        }
        assertThat(one.take(Optional.empty(), 0, MEMBERS, 1)).isEmpty();
    }

    @Test
    void nodesKeepTheSameLeavesInWhateverOrderTheyLearnThem() {
        for (int number = 1; number <= 6; number++) {
            one.add(leave("i-" + number, number), number);
            other.add(leave("i-" + (7 - number), 7 - number), number);
        }
        assertThat(one.of(NODE)).hasSize(4).containsExactlyInAnyOrderElementsOf(other.of(NODE));
        assertThat(one.add(new KnownLeave(leave("i-1", 1), 0), 10)).isFalse();
    }

    private static void send(TargetLeaves from, TargetLeaves to, long nowNanos) {
        List<KnownLeave> sent = from.take(Optional.of(NODE), BUDGET_BYTES, MEMBERS, nowNanos);
        sent.forEach(leave -> to.add(leave, nowNanos));
    }

    private static TargetLeave leave(String instance, long startedAtMillis) {
        return new TargetLeave(NODE, instance, startedAtMillis, TargetLeave.ALL_HEARTBEATS);
    }
}
