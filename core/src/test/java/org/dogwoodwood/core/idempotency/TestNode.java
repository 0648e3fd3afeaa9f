package org.dogwoodwood.core.idempotency;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetAnswer;

/** A node of a small service, with its ownership and registry. */
final class TestNode {

    static final String SERVICE = "outings";
    static final long SECOND = 1_000_000_000L;
    static final long WINDOW = 120 * SECOND;
    static final long LEASE = 5 * SECOND;

    final RegisteredMember member;
    final KeyOwnership ownership;
    final DefaultIdempotencyRegistry registry;
    private long counter;

    TestNode(String name, long incarnation) {
        member = member(name, incarnation);
        ownership = KeyOwnership.create(SERVICE, member, WINDOW, LEASE);
        registry = DefaultIdempotencyRegistry.create(ownership, KeyLimits.DEFAULT);
    }

    static RegisteredMember member(String name, long incarnation) {
        return new RegisteredMember(NodeId.of(name), incarnation);
    }

    static MemberView view(long offset, RegisteredMember... members) {
        return view(offset, Set.of(), members);
    }

    static MemberView view(long offset, Set<RegisteredMember> ended, RegisteredMember... members) {
        Map<NodeId, Long> incarnations =
                Stream.of(members)
                        .collect(
                                Collectors.toMap(
                                        RegisteredMember::node, RegisteredMember::incarnation));
        return new MemberView(offset, incarnations, ended);
    }

    /** Returns a key whose owner differs between two views as given. */
    static String keyMovingBetween(
            RegisteredMember from, MemberView before, RegisteredMember to, MemberView after) {
        for (int i = 0; i < 10_000; i++) {
            String key = "key-" + i;
            if (before.ownerOf(SERVICE, key).filter(from::equals).isPresent()
                    && after.ownerOf(SERVICE, key).filter(to::equals).isPresent()) {
                return key;
            }
        }
        throw new IllegalStateException("No key moves from " + from + " to " + to + ".");
    }

    static String keyOwnedBy(RegisteredMember owner, MemberView view) {
        return keyMovingBetween(owner, view, owner, view);
    }

    void read(MemberView view, long nowNanos) {
        ownership.onView(view, nowNanos);
        ownership.onLogEnd(nowNanos);
    }

    CallDescription call(String key, long fingerprint) {
        return new CallDescription(
                CallId.of(NodeId.of("ingress"), 1, ++counter),
                0,
                SERVICE,
                "default",
                false,
                Optional.of(key),
                fingerprint,
                0,
                Long.MAX_VALUE,
                Long.MAX_VALUE,
                true);
    }

    KeyDecision begin(String key, long nowNanos) {
        return registry.begin(call(key, 1), nowNanos);
    }

    /** Runs a call to completion and returns its answer. */
    TargetAnswer run(String key, long nowNanos) {
        CallDescription call = call(key, 1);
        TargetAnswer answer = TargetAnswer.of(201, java.util.List.of(), new byte[] {7});
        if (!registry.begin(call, nowNanos).equals(KeyDecision.run())) {
            throw new IllegalStateException("The call must be the first with its key.");
        }
        registry.complete(call, answer, nowNanos);
        return answer;
    }

    void handOverTo(TestNode other, long nowNanos) {
        registry.prepareHandover(other.member, nowNanos)
                .forEach(frame -> other.registry.receive(frame, nowNanos));
        ownership.onHandoverAccepted(other.member, ownership.currentView().orElseThrow().offset());
    }
}
