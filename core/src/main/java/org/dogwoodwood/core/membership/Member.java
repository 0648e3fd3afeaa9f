package org.dogwoodwood.core.membership;

import java.util.Objects;
import org.dogwoodwood.core.model.NodeId;

/**
 * An entry of the membership table. Only the node itself increases its incarnation and version;
 * others may change the liveness of a version.
 *
 * @param node the node
 * @param incarnation the incarnation of its process
 * @param version increases with each change that the node declares
 * @param liveness the liveness observed by others
 * @param ready whether the node has received the configuration and the members
 * @param readsSource whether the node can read the source of the operators' configurations; false
 *     if it has none besides the log
 * @param address where the node can be reached
 * @param target the target beside it
 */
public record Member(
        NodeId node,
        long incarnation,
        long version,
        Liveness liveness,
        boolean ready,
        boolean readsSource,
        NodeAddress address,
        MemberTarget target) {

    // Numbers, flags and the MessagePack headers of an encoded member.
    private static final int FIXED_BYTES = 54;

    /** Checks that the references are present. */
    public Member {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(liveness, "liveness");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(target, "target");
    }

    /** Returns the observed state, or the declared one if the member is alive. */
    public MemberState state() {
        return liveness.observedState().orElseGet(this::declaredState);
    }

    /** Returns whether this entry replaces another one of the same node. */
    public boolean supersedes(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (version != other.version) {
            return version > other.version;
        }
        return liveness.compareTo(other.liveness) > 0;
    }

    /** Returns whether the member is neither dead nor leaving. */
    public boolean isPresent() {
        return liveness != Liveness.DEAD && declaredState() != MemberState.LEAVING;
    }

    /** Returns the same member with the given liveness. */
    public Member withLiveness(Liveness newLiveness) {
        return new Member(
                node, incarnation, version, newLiveness, ready, readsSource, address, target);
    }

    /** Returns the member as alive with the given version. */
    public Member withVersion(long newVersion) {
        return new Member(
                node, incarnation, newVersion, Liveness.ALIVE, ready, readsSource, address, target);
    }

    /** Returns the member as alive with the next version and the given target. */
    public Member withTarget(MemberTarget newTarget) {
        return new Member(
                node,
                incarnation,
                version + 1,
                Liveness.ALIVE,
                ready,
                readsSource,
                address,
                newTarget);
    }

    /** Returns the member as alive with the next version and the given readiness. */
    public Member withReady(boolean newReady) {
        return new Member(
                node,
                incarnation,
                version + 1,
                Liveness.ALIVE,
                newReady,
                readsSource,
                address,
                target);
    }

    /** Returns the member as alive with the next version and whether it can read the source. */
    public Member withReadsSource(boolean newReadsSource) {
        return new Member(
                node,
                incarnation,
                version + 1,
                Liveness.ALIVE,
                ready,
                newReadsSource,
                address,
                target);
    }

    /** Returns the member as alive with the given incarnation and version 1. */
    public Member withIncarnation(long newIncarnation) {
        return new Member(
                node, newIncarnation, 1, Liveness.ALIVE, ready, readsSource, address, target);
    }

    /** Returns the liveness of this version of the member. */
    public LivenessUpdate livenessUpdate() {
        return new LivenessUpdate(node, incarnation, version, liveness);
    }

    /** Returns an upper bound of the encoded size, in bytes, for names in ASCII. */
    int encodedBytes() {
        return FIXED_BYTES
                + node.value().length()
                + address.dataCentre().length()
                + address.host().length()
                + target.service().length();
    }

    /** Returns a hash of the fields that {@link #supersedes} compares, and of the node. */
    long stateHash() {
        return livenessUpdate().stateHash();
    }

    private MemberState declaredState() {
        switch (target.state()) {
            case DRAINING:
                return MemberState.DRAINING;
            case LEAVING:
                return MemberState.LEAVING;
            case COLD:
            case WARM:
                return ready ? MemberState.READY : MemberState.JOINING;
            case DOWN:
            default:
                return MemberState.JOINING;
        }
    }
}
