package org.dogwoodwood.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwood.core.model.NodeId;
import org.junit.jupiter.api.Test;

/** Guards against changes that no member reads in time, and against members that all read often. */
class SourceReadersTests {

    private static final int DATA_CENTRES = 4;

    /** Guards against a number of frequent readers that grows with the number of members. */
    @Test
    void twoMembersInDifferentDataCentresReadHoweverManyThereAre() {
        for (int count : List.of(2, 10, 76, 95)) {
            List<Member> members = members(count, true);
            List<Member> readers = readers(members);
            assertThat(readers).hasSize(2);
            assertThat(readers.stream().map(reader -> reader.address().dataCentre()).distinct())
                    .hasSize(2);
        }
    }

    /** Guards against a change that nobody reads after the reader whose turn it was has ended. */
    @Test
    void anotherMemberReadsInPlaceOfOneThatIsSuspected() {
        List<Member> members = new ArrayList<>(members(10, true));
        Member ended = readers(members).get(0);
        members.set(members.indexOf(ended), ended.withLiveness(Liveness.SUSPECT));
        List<Member> others =
                members.stream().filter(member -> !member.node().equals(ended.node())).toList();
        assertThat(readers(others, members)).hasSize(2);
    }

    /** Guards against readers that the source refuses while it serves one other member. */
    @Test
    void theOnlyMemberThatReachesTheSourceReads() {
        List<Member> members = new ArrayList<>(members(10, false));
        Member only = members.get(7).withReadsSource(true);
        members.set(7, only);
        assertThat(readers(members)).containsExactly(only);
    }

    /** Guards against frequent reads of all members that have started together. */
    @Test
    void aMemberThatKnowsNoOtherYetDoesNotReadForAll() {
        Member started = members(1, true).get(0);
        SourceReaders readers = SourceReaders.of(tableOf(started, List.of()));
        assertThat(readers.includesSelf(0)).isFalse();
        assertThat(readers.includesSelf(SourceReaders.SETTLE_NANOS - 1)).isFalse();
        assertThat(readers.includesSelf(SourceReaders.SETTLE_NANOS)).isTrue();
    }

    /** Returns the members that choose themselves, each from a table of its own. */
    private static List<Member> readers(List<Member> members) {
        return readers(members, members);
    }

    private static List<Member> readers(List<Member> observers, List<Member> known) {
        return observers.stream()
                .filter(observer -> includesSelf(SourceReaders.of(tableOf(observer, known))))
                .toList();
    }

    private static boolean includesSelf(SourceReaders readers) {
        readers.includesSelf(0);
        return readers.includesSelf(SourceReaders.SETTLE_NANOS);
    }

    private static MembershipTable tableOf(Member self, List<Member> members) {
        MembershipTable table =
                MembershipTable.create(self, MembershipTimings.defaults(), changed -> {}, 0);
        members.forEach(member -> table.merge(member, 0));
        return table;
    }

    private static List<Member> members(int count, boolean readsSource) {
        List<Member> members = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            members.add(
                    new Member(
                            NodeId.of("node-" + number),
                            1,
                            1,
                            Liveness.ALIVE,
                            true,
                            readsSource,
                            new NodeAddress("dc-" + number % DATA_CENTRES, "127.0.0.1", number, 0),
                            MemberTarget.none()));
        }
        return members;
    }
}
