package org.dogwoodwood.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.dogwoodwood.node.peer.PingSchedule.Action;
import org.junit.jupiter.api.Test;

/** Guards against silent connections that stay open, and against needless pings. */
class PingScheduleTests {

    private static final int IDLE_INTERVAL = PeerTimings.DEFAULT.idlePingInterval();

    private final PingSchedule schedule = PingSchedule.create(PeerTimings.DEFAULT);

    @Test
    void anIdleConnectionIsPingedOncePerIdleInterval() {
        assertThat(ticksUntilPing(false)).isEqualTo(IDLE_INTERVAL);
    }

    @Test
    void aConnectionWithFramesInBothDirectionsNeedsNoPing() {
        int pings = 0;
        for (int tick = 0; tick < 3 * IDLE_INTERVAL; tick++) {
            schedule.onSent();
            pings += schedule.tick(true, false) == Action.PING ? 1 : 0;
        }
        assertThat(pings).isZero();
    }

    /** Guards against a peer that closes a connection on which only it sends. */
    @Test
    void aConnectionOnWhichOnlyThePeerSendsIsPinged() {
        assertThat(ticksUntilPing(true)).isEqualTo(IDLE_INTERVAL);
    }

    @Test
    void aSilentConnectionWithPendingCallsIsClosedAfterThreeMissedPings() {
        schedule.onSent();
        assertThat(schedule.tick(false, true)).isEqualTo(Action.PING);
        schedule.onPing();
        for (int missed = 1; missed < PeerTimings.DEFAULT.maxMissedPings(); missed++) {
            assertThat(schedule.tick(false, true)).isEqualTo(Action.PING);
            schedule.onPing();
        }
        assertThat(schedule.tick(false, true)).isEqualTo(Action.CLOSE);
    }

    private int ticksUntilPing(boolean received) {
        for (int tick = 1; tick <= 10 * IDLE_INTERVAL; tick++) {
            if (schedule.tick(received, false) == Action.PING) {
                return tick;
            }
        }
        return -1;
    }
}
