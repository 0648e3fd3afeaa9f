package org.dogwoodwood.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.core.routing.RouteTarget;
import org.junit.jupiter.api.Test;

class QuotaMembersTests {

    // Guards against using the share of a member that is cut off, and against losing that of a
    // member that has left.
    @Test
    void deadMembersAreKnownAndLeftMembersAreForgotten() {
        QuotaMembers members = QuotaMembers.create();
        RouteTarget one = member("one", TargetState.WARM, false);
        RouteTarget two = member("two", TargetState.WARM, false);
        members.update(List.of(one, two, member("three", TargetState.DOWN, false)), 0);

        QuotaView.Members left = members.update(List.of(one, two), 1).get("north");
        assertThat(left.known()).isEqualTo(2);

        QuotaView.Members suspect =
                members.update(List.of(one, member("two", TargetState.WARM, true)), 2).get("north");
        assertThat(suspect.eligible()).containsExactly(one.node());
        QuotaView.Members dead = members.update(List.of(one), 3).get("north");
        assertThat(dead.part()).isEqualTo(0.5);

        long later = 16 * 60 * 1_000_000_000L;
        assertThat(members.update(List.of(one), later).get("north").part()).isEqualTo(1);
    }

    private static RouteTarget member(String node, TargetState state, boolean suspect) {
        return new RouteTarget(
                NodeId.of(node), 1, "shop", "north", "127.0.0.1", 1, state, 0, suspect, false);
    }
}
