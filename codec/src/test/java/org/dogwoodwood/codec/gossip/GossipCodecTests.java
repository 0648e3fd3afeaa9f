package org.dogwoodwood.codec.gossip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.configuration.AcceptedConfiguration;
import org.dogwoodwood.core.health.CrashKind;
import org.dogwoodwood.core.membership.CrashReport;
import org.dogwoodwood.core.membership.DataCentreOrder;
import org.dogwoodwood.core.membership.DataCentreOrders;
import org.dogwoodwood.core.membership.GossipMessage;
import org.dogwoodwood.core.membership.GossipStrategy;
import org.dogwoodwood.core.membership.KnownLeave;
import org.dogwoodwood.core.membership.Liveness;
import org.dogwoodwood.core.membership.LivenessUpdate;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.membership.MemberTarget;
import org.dogwoodwood.core.membership.MembershipTable;
import org.dogwoodwood.core.membership.MembershipTimings;
import org.dogwoodwood.core.membership.NodeAddress;
import org.dogwoodwood.core.membership.TableDigest;
import org.dogwoodwood.core.membership.TargetLeave;
import org.dogwoodwood.core.model.FreeCapacity;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetState;
import org.junit.jupiter.api.Test;

class GossipCodecTests {

    private static final NodeId NODE = NodeId.of("node-1");
    private static final Member MEMBER =
            new Member(
                    NODE,
                    1_700_000_000_000L,
                    Long.MAX_VALUE,
                    Liveness.SUSPECT,
                    true,
                    true,
                    new NodeAddress("north", "255.255.255.255", 65_535, 65_535),
                    new MemberTarget("outings", 1_000_000, 1_000_000, TargetState.DRAINING));
    private static final GossipMessage MESSAGE =
            new GossipMessage(
                    MEMBER,
                    new TableDigest(3, 5, Collections.nCopies(16, Integer.MIN_VALUE)),
                    -1,
                    12,
                    Long.MIN_VALUE,
                    List.of(MEMBER),
                    List.of(new LivenessUpdate(NODE, 1_700_000_000_000L, 3, Liveness.DEAD)),
                    List.of(new DataCentreOrder("north", 4, DataCentreOrder.State.OUT, "o")),
                    List.of(new CrashReport(Long.MIN_VALUE, CrashKind.CLEARED, NODE, 2, 3, 4)),
                    List.of(
                            new KnownLeave(
                                    new TargetLeave(
                                            NODE,
                                            "i-7f3a91c2",
                                            1_700_000_000_000L,
                                            TargetLeave.ALL_HEARTBEATS),
                                    250)));

    /** Guards against a field that is lost in encoding or decoding. */
    @Test
    void messageRoundTrips() {
        assertThat(GossipCodec.decode(GossipCodec.encode(MESSAGE))).isEqualTo(MESSAGE);
    }

    // Without the sender's data centre, which is encoded as an empty name, an estimate would be
    // taken for one of the receiver.
    @Test
    void keepsEstimatesOfFreeCapacity() {
        String own = MESSAGE.sender().address().dataCentre();
        GossipMessage message =
                MESSAGE.withCapacities(
                        List.of(
                                new FreeCapacity(own, "outings", 7, 130_000, 250),
                                new FreeCapacity("other", "outings", 0, 130_000, 900)));
        assertThat(GossipCodec.decode(GossipCodec.encode(message))).isEqualTo(message);
    }

    /** Guards against truncated or corrupted payloads that cause any other exception. */
    @Test
    void damagedMessagesCauseOnlyTypedErrors() {
        byte[] encoded = GossipCodec.encode(MESSAGE);
        for (int length = 0; length < encoded.length; length++) {
            byte[] truncated = Arrays.copyOf(encoded, length);
            assertThatThrownBy(() -> GossipCodec.decode(truncated))
                    .isInstanceOf(DogwoodwoodException.class);
        }
        Random random = new Random(11);
        int rejected = 0;
        for (int trial = 0; trial < 5_000; trial++) {
            byte[] corrupted = encoded.clone();
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
            try {
                GossipCodec.decode(corrupted);
            } catch (DogwoodwoodException e) {
                rejected++;
            }
        }
        assertThat(rejected).isPositive();
    }

    /** Guards against a configuration or ping that changes in encoding or decoding. */
    @Test
    void configurationAndPingPayloadsRoundTrip() {
        AcceptedConfiguration configuration = new AcceptedConfiguration(4, "p", "{}", -2);
        assertThat(ConfigurationFrames.decodeReply(ConfigurationFrames.encodeReply(configuration)))
                .isEqualTo(configuration);
        assertThat(ConfigurationFrames.decodeRequest(ConfigurationFrames.encodeRequest(9)))
                .isEqualTo(9);
        IndirectPing ping = new IndirectPing(NODE, true);
        assertThat(IndirectPing.decode(ping.encode())).isEqualTo(ping);
    }

    /** Guards against messages that exceed the byte budget of control traffic. */
    @Test
    void messageSizesStayWithinTheirBudget() {
        MembershipTable table =
                MembershipTable.create(member(0), MembershipTimings.defaults(), changed -> {}, 0);
        GossipStrategy strategy =
                GossipStrategy.create(table, DataCentreOrders.create(), new Random(5));
        for (int other = 1; other < 1_000; other++) {
            table.merge(member(other), 0);
        }
        int quiet = GossipCodec.encode(strategy.request(0)).length;
        table.members().forEach(strategy::onMemberChanged);
        int busy = GossipCodec.encode(strategy.request(0)).length;
        System.out.printf("gossip message: quiet=%d bytes busy=%d bytes%n", quiet, busy);
        assertThat(quiet).isLessThanOrEqualTo(256);
        assertThat(busy).isBetween(quiet + 800, quiet + GossipStrategy.MAX_UPDATE_BYTES);
    }

    private static Member member(int number) {
        return new Member(
                NodeId.of("node-" + number),
                1_700_000_000_000L,
                3,
                Liveness.ALIVE,
                true,
                true,
                new NodeAddress("data-centre-12", "10.255.255.255", 17_000, 18_000),
                new MemberTarget("payments", 18, 240, TargetState.WARM));
    }
}
