package org.dogwoodwood.codec.gossip;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.dogwoodwood.core.health.CrashKind;
import org.dogwoodwood.core.membership.CrashReport;
import org.dogwoodwood.core.membership.DataCentreOrder;
import org.dogwoodwood.core.membership.GossipMessage;
import org.dogwoodwood.core.membership.KnownLeave;
import org.dogwoodwood.core.membership.Liveness;
import org.dogwoodwood.core.membership.LivenessUpdate;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.membership.MemberTarget;
import org.dogwoodwood.core.membership.NodeAddress;
import org.dogwoodwood.core.membership.TableDigest;
import org.dogwoodwood.core.membership.TargetLeave;
import org.dogwoodwood.core.model.FreeCapacity;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetState;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the payload of GOSSIP and GOSSIP_REPLY (frames 8 and 9), an array of ten
 * elements, and another one if there are estimates of free capacity.
 */
public final class GossipCodec {

    private static final int MAX_NAME_BYTES = 255;
    private static final int MAX_ENTRIES = 1_000;
    private static final int ELEMENTS = 10;
    private static final List<TargetState> TARGET_STATES =
            List.of(
                    TargetState.COLD,
                    TargetState.WARM,
                    TargetState.DRAINING,
                    TargetState.LEAVING,
                    TargetState.DOWN);

    private GossipCodec() {}

    /** Encodes a message. */
    public static byte[] encode(GossipMessage message) {
        return Payloads.write(
                packer -> {
                    boolean hasCapacities = !message.capacities().isEmpty();
                    packer.packArrayHeader(hasCapacities ? ELEMENTS + 1 : ELEMENTS);
                    writeMember(packer, message.sender());
                    writeDigest(packer, message.digest());
                    packer.packLong(message.ordersHash());
                    packer.packLong(message.configurationVersion());
                    packer.packLong(message.configurationHash());
                    writeList(packer, message.members(), GossipCodec::writeMember);
                    writeList(packer, message.livenessUpdates(), GossipCodec::writeLivenessUpdate);
                    writeList(packer, message.orders(), GossipCodec::writeOrder);
                    writeList(packer, message.crashReports(), GossipCodec::writeCrashReport);
                    writeList(packer, message.leaves(), GossipCodec::writeLeave);
                    if (hasCapacities) {
                        String own = message.sender().address().dataCentre();
                        writeList(
                                packer,
                                message.capacities(),
                                (target, capacity) -> writeCapacity(target, capacity, own));
                    }
                });
    }

    /**
     * Decodes a message.
     *
     * @throws org.dogwoodwood.core.DogwoodwoodException if the payload is malformed
     */
    public static GossipMessage decode(byte[] payload) {
        return Payloads.read(
                payload,
                unpacker -> {
                    int elements = Payloads.readArrayHeader(unpacker, ELEMENTS + 1);
                    if (elements < ELEMENTS) {
                        throw new IllegalArgumentException("A gossip message is incomplete.");
                    }
                    GossipMessage message =
                            new GossipMessage(
                                    readMember(unpacker),
                                    readDigest(unpacker),
                                    unpacker.unpackLong(),
                                    unpacker.unpackLong(),
                                    unpacker.unpackLong(),
                                    readList(unpacker, GossipCodec::readMember),
                                    readList(unpacker, GossipCodec::readLivenessUpdate),
                                    readList(unpacker, GossipCodec::readOrder),
                                    readList(unpacker, GossipCodec::readCrashReport),
                                    readList(unpacker, GossipCodec::readLeave));
                    if (elements == ELEMENTS) {
                        return message;
                    }
                    String own = message.sender().address().dataCentre();
                    return message.withCapacities(
                            readList(unpacker, source -> readCapacity(source, own)));
                });
    }

    private static void writeMember(MessagePacker packer, Member member) throws IOException {
        packer.packString(member.node().value());
        packer.packLong(member.incarnation());
        packer.packLong(member.version());
        packer.packInt(member.liveness().code());
        packer.packBoolean(member.ready());
        packer.packBoolean(member.readsSource());
        packer.packString(member.address().dataCentre());
        packer.packString(member.address().host());
        packer.packInt(member.address().peerPort());
        packer.packInt(member.address().httpPort());
        packer.packString(member.target().service());
        packer.packInt(member.target().slots());
        packer.packInt(member.target().connections());
        packer.packInt(TARGET_STATES.indexOf(member.target().state()));
        packer.packInt(member.target().stateVersion());
    }

    private static Member readMember(MessageUnpacker unpacker) throws IOException {
        NodeId node = readNode(unpacker);
        long incarnation = unpacker.unpackLong();
        long version = unpacker.unpackLong();
        Liveness liveness = readLiveness(unpacker);
        boolean ready = unpacker.unpackBoolean();
        boolean readsSource = unpacker.unpackBoolean();
        NodeAddress address =
                new NodeAddress(
                        readName(unpacker),
                        readName(unpacker),
                        unpacker.unpackInt(),
                        unpacker.unpackInt());
        MemberTarget target =
                new MemberTarget(
                        readName(unpacker),
                        unpacker.unpackInt(),
                        unpacker.unpackInt(),
                        TARGET_STATES.get(unpacker.unpackInt()),
                        unpacker.unpackInt());
        return new Member(
                node, incarnation, version, liveness, ready, readsSource, address, target);
    }

    private static void writeLivenessUpdate(MessagePacker packer, LivenessUpdate update)
            throws IOException {
        packer.packString(update.node().value());
        packer.packLong(update.incarnation());
        packer.packLong(update.version());
        packer.packInt(update.liveness().code());
    }

    private static LivenessUpdate readLivenessUpdate(MessageUnpacker unpacker) throws IOException {
        return new LivenessUpdate(
                readNode(unpacker),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                readLiveness(unpacker));
    }

    private static void writeOrder(MessagePacker packer, DataCentreOrder order) throws IOException {
        packer.packString(order.dataCentre());
        packer.packLong(order.counter());
        packer.packBoolean(order.state() == DataCentreOrder.State.OUT);
        packer.packString(order.orderId());
    }

    private static DataCentreOrder readOrder(MessageUnpacker unpacker) throws IOException {
        String dataCentre = readName(unpacker);
        long counter = unpacker.unpackLong();
        boolean out = unpacker.unpackBoolean();
        return new DataCentreOrder(
                dataCentre,
                counter,
                out ? DataCentreOrder.State.OUT : DataCentreOrder.State.IN,
                readName(unpacker));
    }

    private static void writeCrashReport(MessagePacker packer, CrashReport report)
            throws IOException {
        packer.packLong(report.fingerprint());
        packer.packInt(report.kind().code());
        packer.packString(report.guard().value());
        packer.packLong(report.targetIncarnation());
        packer.packLong(report.sequence());
        packer.packLong(report.ageMillis());
    }

    private static CrashReport readCrashReport(MessageUnpacker unpacker) throws IOException {
        long fingerprint = unpacker.unpackLong();
        CrashKind kind = readCrashKind(unpacker);
        return new CrashReport(
                fingerprint,
                kind,
                readNode(unpacker),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong());
    }

    // The sender's own data centre, which most estimates are of, is encoded as an empty name.
    private static void writeCapacity(MessagePacker packer, FreeCapacity capacity, String own)
            throws IOException {
        packer.packString(capacity.dataCentre().equals(own) ? "" : capacity.dataCentre());
        packer.packString(capacity.service());
        packer.packInt(capacity.freeSlots());
        packer.packLong(capacity.serviceMicros());
        packer.packLong(capacity.ageMillis());
    }

    private static FreeCapacity readCapacity(MessageUnpacker unpacker, String own)
            throws IOException {
        String dataCentre = readName(unpacker);
        return new FreeCapacity(
                dataCentre.isEmpty() ? own : dataCentre,
                readName(unpacker),
                unpacker.unpackInt(),
                unpacker.unpackLong(),
                unpacker.unpackLong());
    }

    private static void writeDigest(MessagePacker packer, TableDigest digest) throws IOException {
        packer.packInt(digest.bits());
        packer.packLong(digest.group());
        packer.packArrayHeader(digest.leaves().size());
        for (int leaf : digest.leaves()) {
            packer.packInt(leaf);
        }
    }

    private static TableDigest readDigest(MessageUnpacker unpacker) throws IOException {
        int bits = unpacker.unpackInt();
        long group = unpacker.unpackLong();
        return new TableDigest(bits, group, readList(unpacker, MessageUnpacker::unpackInt));
    }

    private static NodeId readNode(MessageUnpacker unpacker) throws IOException {
        return NodeId.of(readName(unpacker));
    }

    private static String readName(MessageUnpacker unpacker) throws IOException {
        return Payloads.readString(unpacker, MAX_NAME_BYTES);
    }

    private static Liveness readLiveness(MessageUnpacker unpacker) throws IOException {
        return Liveness.fromCode(unpacker.unpackInt())
                .orElseThrow(() -> new IllegalArgumentException("Unknown liveness number."));
    }

    private static void writeLeave(MessagePacker packer, KnownLeave known) throws IOException {
        TargetLeave leave = known.leave();
        packer.packString(leave.node().value());
        packer.packString(leave.instance());
        packer.packLong(leave.startedAtMillis());
        packer.packLong(leave.sequence());
        packer.packLong(known.ageMillis());
    }

    private static KnownLeave readLeave(MessageUnpacker unpacker) throws IOException {
        TargetLeave leave =
                new TargetLeave(
                        readNode(unpacker),
                        readName(unpacker),
                        unpacker.unpackLong(),
                        unpacker.unpackLong());
        return new KnownLeave(leave, unpacker.unpackLong());
    }

    private static CrashKind readCrashKind(MessageUnpacker unpacker) throws IOException {
        return CrashKind.fromCode(unpacker.unpackInt())
                .orElseThrow(() -> new IllegalArgumentException("Unknown crash report number."));
    }

    private static <T> void writeList(
            MessagePacker packer, List<T> elements, ElementWriter<T> writer) throws IOException {
        packer.packArrayHeader(elements.size());
        for (T element : elements) {
            writer.write(packer, element);
        }
    }

    private static <T> List<T> readList(MessageUnpacker unpacker, Payloads.Reader<T> reader)
            throws IOException {
        int size = Payloads.readArrayHeader(unpacker, MAX_ENTRIES);
        List<T> elements = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            elements.add(reader.read(unpacker));
        }
        return elements;
    }

    private interface ElementWriter<T> {
        void write(MessagePacker packer, T element) throws IOException;
    }
}
