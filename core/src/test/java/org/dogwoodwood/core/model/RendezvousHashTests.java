package org.dogwoodwood.core.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against uneven assignments and against needless reassignments. */
class RendezvousHashTests {

    private static final List<NodeId> MEMBERS =
            List.of(NodeId.of("node-1"), NodeId.of("node-2"), NodeId.of("node-3"));

    @Test
    void returnsEmptyWithoutMembers() {
        assertThat(RendezvousHash.first("subject", List.of())).isEmpty();
    }

    @Test
    void distributesKeysEvenly() {
        for (NodeId member : MEMBERS) {
            long share = 0;
            for (int i = 0; i < 30_000; i++) {
                Optional<NodeId> first = RendezvousHash.first("subject-" + i, MEMBERS);
                share += first.filter(member::equals).isPresent() ? 1 : 0;
            }
            assertThat(share).isBetween(9_500L, 10_500L);
        }
    }

    @Test
    void movesOnlyTheKeysOfARemovedMember() {
        List<NodeId> rest = new ArrayList<>(MEMBERS);
        NodeId removed = rest.remove(0);
        for (int i = 0; i < 1_000; i++) {
            NodeId before = RendezvousHash.first("subject-" + i, MEMBERS).orElseThrow();
            if (!before.equals(removed)) {
                assertThat(RendezvousHash.first("subject-" + i, rest)).contains(before);
            }
        }
    }
}
