package org.dogwoodwood.benchmarks.slopes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.dogwoodwood.benchmarks.slopes.Sample.Unit;
import org.dogwoodwood.codec.gossip.GossipCodec;
import org.dogwoodwood.codec.log.LogRecordCodec;
import org.dogwoodwood.core.idempotency.MemberView;
import org.dogwoodwood.core.idempotency.MembershipRecord;
import org.dogwoodwood.core.idempotency.RegisteredMembers;
import org.dogwoodwood.core.membership.DataCentreOrders;
import org.dogwoodwood.core.membership.GossipMessage;
import org.dogwoodwood.core.membership.GossipStrategy;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.membership.MembershipTable;
import org.dogwoodwood.core.routing.RouteTarget;
import org.dogwoodwood.core.routing.RoutingTable;

/** Measures the costs that grow with the number of members. */
final class MembershipSlopes {

    private static final String SIZE_UNIT = "members";
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int BUSY_UPDATES = 200;

    private final long seed;
    private final List<Sample> samples = new ArrayList<>();

    private MembershipSlopes(long seed) {
        this.seed = seed;
    }

    /** Measures at each number of members. */
    static List<Sample> measure(int[] sizes, long seed) {
        MembershipSlopes slopes = new MembershipSlopes(seed);
        for (int size : sizes) {
            slopes.measureHeap(size);
            slopes.measureTable(size);
            slopes.measureGossip(size);
            slopes.measureLog(size);
        }
        return slopes.samples;
    }

    private void measureHeap(int size) {
        add(
                Quantity.MEMBERSHIP_HEAP,
                size,
                HeapMeter.retainedBytes(() -> SyntheticSystem.membershipTable(size)),
                Unit.BYTES);
        add(
                Quantity.REGISTRATIONS_HEAP,
                size,
                HeapMeter.retainedBytes(() -> registrations(size)),
                Unit.BYTES);
        MembershipTable table = SyntheticSystem.membershipTable(size);
        add(Quantity.ROUTES_HEAP, size, HeapMeter.retainedBytes(() -> routes(table)), Unit.BYTES);
    }

    private void measureTable(int size) {
        MembershipTable table = SyntheticSystem.membershipTable(size);
        long[] now = {0};
        add(
                Quantity.MEMBERSHIP_TICK,
                size,
                CpuMeter.microsecondsPerRun(() -> table.tick(now[0] += NANOS_PER_MILLI)),
                Unit.MICROSECONDS);
        long[] version = {10};
        Member changing = SyntheticSystem.member(size / 2);
        add(
                Quantity.MEMBER_MERGE,
                size,
                CpuMeter.microsecondsPerRun(
                        () -> table.merge(changing.withVersion(version[0]++), now[0])),
                Unit.MICROSECONDS);
        add(
                Quantity.ROUTES_BUILD,
                size,
                CpuMeter.microsecondsPerRun(() -> routes(table)),
                Unit.MICROSECONDS);
    }

    private void measureGossip(int size) {
        GossipStrategy initiator = strategy(size, 0);
        GossipStrategy responder = strategy(size, 1);
        byte[] quiet = GossipCodec.encode(initiator.request(0));
        add(Quantity.GOSSIP_QUIET_BYTES, size, quiet.length, Unit.BYTES);
        add(
                Quantity.GOSSIP_EXCHANGE,
                size,
                CpuMeter.microsecondsPerRun(() -> exchange(initiator, responder)),
                Unit.MICROSECONDS);
        for (int index = 1; index <= BUSY_UPDATES; index++) {
            initiator.onMemberChanged(SyntheticSystem.member(index % size));
        }
        byte[] busy = GossipCodec.encode(initiator.request(0));
        add(Quantity.GOSSIP_BUSY_BYTES, size, busy.length, Unit.BYTES);
    }

    private void measureLog(int size) {
        List<byte[]> records = new ArrayList<>();
        long bytes = 0;
        for (int index = 0; index < size; index++) {
            records.add(LogRecordCodec.encode(SyntheticSystem.announcement(index)));
            bytes += records.get(index).length;
        }
        add(Quantity.ANNOUNCEMENT_BYTES, size, (double) bytes / size, Unit.BYTES);
        add(
                Quantity.LOG_REPLAY,
                size,
                CpuMeter.microsecondsPerRun(() -> replay(records)),
                Unit.MICROSECONDS);
    }

    private static List<Object> registrations(int size) {
        Map<String, RegisteredMembers> byService = new HashMap<>();
        Map<String, MemberView> views = new HashMap<>();
        for (int index = 0; index < size; index++) {
            String service = SyntheticSystem.serviceName(index);
            Member member = SyntheticSystem.member(index);
            MembershipRecord next =
                    new MembershipRecord(
                            index,
                            0,
                            MembershipRecord.Kind.ANNOUNCED,
                            member.node(),
                            member.incarnation(),
                            service);
            byService
                    .computeIfAbsent(service, name -> RegisteredMembers.create(name, 1))
                    .accept(next)
                    .ifPresent(view -> views.put(service, view));
        }
        return List.of(byService, views);
    }

    private static void replay(List<byte[]> records) {
        MembershipTable table = SyntheticSystem.membershipTable(1);
        for (int index = 0; index < records.size(); index++) {
            LogRecordCodec.decode(records.get(index));
            table.merge(SyntheticSystem.member(index), 0);
        }
    }

    private static void exchange(GossipStrategy initiator, GossipStrategy responder) {
        byte[] request = GossipCodec.encode(initiator.request(0));
        GossipMessage reply = responder.reply(GossipCodec.decode(request), 0);
        initiator.receive(GossipCodec.decode(GossipCodec.encode(reply)), 0);
    }

    private GossipStrategy strategy(int size, int seedOffset) {
        return GossipStrategy.create(
                SyntheticSystem.membershipTable(size),
                DataCentreOrders.create(),
                new SplittableRandom(seed + seedOffset));
    }

    private static Map<String, List<RouteTarget>> routes(MembershipTable table) {
        List<RouteTarget> targets = new ArrayList<>();
        for (Member member : table.members()) {
            targets.add(
                    new RouteTarget(
                            member.node(),
                            member.incarnation(),
                            member.target().service(),
                            member.address().dataCentre(),
                            member.address().host(),
                            member.address().peerPort(),
                            member.target().state(),
                            member.target().stateVersion(),
                            false,
                            false));
        }
        return RoutingTable.groupByService(targets);
    }

    private void add(Quantity quantity, int size, double value, Unit unit) {
        samples.add(new Sample(quantity, SIZE_UNIT, size, value, unit));
    }
}
