package org.dogwoodwood.core.idempotency;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.core.idempotency.TestNode.member;

import java.util.Set;
import org.dogwoodwood.core.idempotency.MembershipRecord.Kind;
import org.dogwoodwood.core.model.NodeId;
import org.junit.jupiter.api.Test;

/** Guards against nodes that derive different members from the same records. */
class RegisteredMembersTests {

    private static final long LIFETIME = 1_000;

    private final RegisteredMembers members = RegisteredMembers.create(TestNode.SERVICE, LIFETIME);

    @Test
    void onlyChangesOfTheServiceProduceAView() {
        assertThat(accept(0, 0, Kind.ANNOUNCED, "a", 1).incarnations())
                .containsOnlyKeys(NodeId.of("a"));
        assertThat(members.accept(record(1, 10, Kind.ANNOUNCED, "a", 1, TestNode.SERVICE)))
                .isEmpty();
        assertThat(members.accept(record(2, 10, Kind.ANNOUNCED, "b", 1, "other"))).isEmpty();
    }

    @Test
    void aNewIncarnationEndsTheFormerOne() {
        accept(0, 0, Kind.ANNOUNCED, "a", 1);
        MemberView view = accept(1, 0, Kind.ANNOUNCED, "a", 2);
        assertThat(view.ended()).containsExactly(member("a", 1));
        assertThat(members.accept(record(2, 0, Kind.ANNOUNCED, "a", 1, TestNode.SERVICE)))
                .isEmpty();
        assertThat(members.accept(record(3, 0, Kind.LEFT, "a", 1, TestNode.SERVICE))).isEmpty();
    }

    @Test
    void aMemberRemovedByAnotherMayStillRun() {
        accept(0, 0, Kind.ANNOUNCED, "a", 1);
        assertThat(accept(1, 0, Kind.REMOVED, "a", 1).ended()).isEmpty();
    }

    @Test
    void aMemberThatLeftHasEnded() {
        accept(0, 0, Kind.ANNOUNCED, "a", 1);
        assertThat(accept(1, 0, Kind.LEFT, "a", 1).ended()).isEqualTo(Set.of(member("a", 1)));
    }

    @Test
    void aRegistrationThatIsNotRenewedExpiresByTheTimeOfTheLog() {
        accept(0, 0, Kind.ANNOUNCED, "a", 1);
        accept(1, 600, Kind.ANNOUNCED, "b", 1);
        MemberView view = accept(2, LIFETIME + 1, Kind.OTHER, "x", 0);
        assertThat(view.incarnations()).containsOnlyKeys(NodeId.of("b"));
        assertThat(view.offset()).isEqualTo(2);
    }

    @Test
    void aRecordReadTwiceHasNoEffect() {
        accept(0, 0, Kind.ANNOUNCED, "a", 1);
        accept(1, 0, Kind.LEFT, "a", 1);
        assertThat(members.accept(record(0, 0, Kind.ANNOUNCED, "a", 1, TestNode.SERVICE)))
                .isEmpty();
    }

    private MemberView accept(long offset, long time, Kind kind, String node, long incarnation) {
        return members.accept(record(offset, time, kind, node, incarnation, TestNode.SERVICE))
                .orElseThrow();
    }

    private static MembershipRecord record(
            long offset, long time, Kind kind, String node, long incarnation, String service) {
        return new MembershipRecord(offset, time, kind, NodeId.of(node), incarnation, service);
    }
}
