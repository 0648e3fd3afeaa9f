package org.dogwoodwood.core.idempotency;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.core.idempotency.TestNode.LEASE;
import static org.dogwoodwood.core.idempotency.TestNode.SECOND;
import static org.dogwoodwood.core.idempotency.TestNode.WINDOW;
import static org.dogwoodwood.core.idempotency.TestNode.keyMovingBetween;
import static org.dogwoodwood.core.idempotency.TestNode.keyOwnedBy;
import static org.dogwoodwood.core.idempotency.TestNode.view;

import java.util.Set;
import org.dogwoodwood.core.ErrorCode;
import org.junit.jupiter.api.Test;

/** Guards against two nodes that run calls with the same key. */
class KeyOwnershipTests {

    private final TestNode a = new TestNode("a", 1);
    private final TestNode b = new TestNode("b", 1);
    private final TestNode c = new TestNode("c", 1);
    private final TestNode d = new TestNode("d", 1);
    private final MemberView abc = view(3, a.member, b.member, c.member);
    private final MemberView bc = view(4, b.member, c.member);

    @Test
    void aNodeThatHasNotReadTheLogOwnsNoKey() {
        assertThat(a.ownership.refusalFor("key", 0)).contains(ErrorCode.KEY_NOT_OWNED);
    }

    @Test
    void onlyTheFirstRankedMemberOwnsAKey() {
        String key = keyOwnedBy(a.member, abc);
        a.read(abc, 0);
        b.read(abc, 0);
        assertThat(a.ownership.refusalFor(key, 1)).isEmpty();
        assertThat(b.ownership.refusalFor(key, 1)).contains(ErrorCode.KEY_NOT_OWNED);
    }

    @Test
    void anOwnerStopsWhenItsLeaseEnds() {
        String key = keyOwnedBy(a.member, abc);
        a.read(abc, 0);
        assertThat(a.ownership.refusalFor(key, LEASE - 1)).isEmpty();
        assertThat(a.ownership.refusalFor(key, LEASE)).contains(ErrorCode.KEY_NOT_OWNED);
    }

    @Test
    void aMajorityOfMembersKeepsAnOwnerWhileTheLogIsDown() {
        String key = keyOwnedBy(a.member, abc);
        a.read(abc, 0);
        long later = 100 * SECOND;
        a.ownership.onPeerOffset(b.member, 3, later, later);
        assertThat(a.ownership.refusalFor(key, later + 1)).isEmpty();
        assertThat(a.ownership.refusalFor(key, later + LEASE)).contains(ErrorCode.KEY_NOT_OWNED);
    }

    @Test
    void anOwnerStopsAtOnceWhenAPeerHasReadFurther() {
        String key = keyOwnedBy(a.member, abc);
        a.read(abc, 0);
        a.ownership.onPeerOffset(b.member, 4, 1, 1);
        assertThat(a.ownership.refusalFor(key, 2)).contains(ErrorCode.KEY_NOT_OWNED);
    }

    @Test
    void confirmationsOfAFormerIncarnationDoNotCount() {
        String key = keyOwnedBy(a.member, abc);
        a.read(abc, 0);
        a.ownership.onPeerOffset(TestNode.member("b", 2), 3, 10 * SECOND, 10 * SECOND);
        assertThat(a.ownership.refusalFor(key, 10 * SECOND)).contains(ErrorCode.KEY_NOT_OWNED);
    }

    @Test
    void aTakeoverWithoutHandoverWaitsForTheWindowAndAMajority() {
        String key = keyMovingBetween(a.member, abc, b.member, bc);
        b.read(abc, 0);
        b.read(bc, 0);
        long afterWindow = b.ownership.takeoverWaitNanos();
        b.ownership.onLogEnd(afterWindow);
        assertThat(b.ownership.refusalFor(key, afterWindow)).contains(ErrorCode.KEY_IN_DOUBT);
        b.ownership.onPeerOffset(c.member, 4, afterWindow, afterWindow);
        long later = 2 * afterWindow;
        b.ownership.onLogEnd(later);
        assertThat(b.ownership.refusalFor(key, later - 1)).contains(ErrorCode.KEY_IN_DOUBT);
        assertThat(b.ownership.refusalFor(key, later)).isEmpty();
        assertThat(afterWindow).isGreaterThan(WINDOW + LEASE);
    }

    @Test
    void aHandoverEndsTheWaitForKeysOfTheLeavingMemberOnly() {
        MemberView onlyC = view(5, c.member);
        String fromA = keyMovingBetween(a.member, abc, c.member, bc);
        String fromB = keyMovingBetween(b.member, abc, c.member, onlyC);
        c.read(abc, 0);
        c.read(bc, 0);
        c.ownership.onHandover(a.member, 4, Set.of(), 1);
        assertThat(c.ownership.refusalFor(fromA, 2)).isEmpty();
        c.read(onlyC, 3);
        assertThat(c.ownership.refusalFor(fromB, 4)).contains(ErrorCode.KEY_IN_DOUBT);
    }

    // Guards against keys of a data centre that is taken out staying in doubt for the whole window.
    @Test
    void aLeavingMemberVouchesForRemainingMembers() {
        b.read(view(1, a.member), 0);
        b.read(view(2, a.member, b.member), 0);
        assertThat(b.ownership.unsettled(1)).containsExactly(a.member);
        b.ownership.onHandover(a.member, 2, Set.of(), 1);
        b.read(abc, 2);
        b.read(view(4, a.member, c.member), 3);
        assertThat(b.ownership.unsettled(4)).isEmpty();
    }

    @Test
    void aHandoverUnderANewerViewStopsTheReceiverUntilItHasReadIt() {
        String key = keyMovingBetween(a.member, abc, b.member, bc);
        b.read(abc, 0);
        b.read(bc, 0);
        b.ownership.onHandover(a.member, 5, Set.of(), 1);
        assertThat(b.ownership.refusalFor(key, 2)).contains(ErrorCode.KEY_NOT_OWNED);
    }

    @Test
    void keysOfTheFormerIncarnationAreInDoubtForTheWindow() {
        TestNode restarted = new TestNode("a", 2);
        MemberView after = view(4, Set.of(a.member), restarted.member, b.member, c.member);
        String key = keyOwnedBy(a.member, abc);
        restarted.read(abc, 0);
        restarted.read(after, 0);
        restarted.ownership.onHandover(b.member, 4, Set.of(), 1);
        restarted.ownership.onHandover(c.member, 4, Set.of(), 1);
        assertThat(restarted.ownership.refusalFor(key, 2)).contains(ErrorCode.KEY_IN_DOUBT);
        long afterWindow = restarted.ownership.takeoverWaitNanos();
        restarted.ownership.onLogEnd(afterWindow);
        assertThat(restarted.ownership.refusalFor(key, afterWindow)).isEmpty();
    }

    @Test
    void aNewMemberServesOnceAllOthersHaveHandedOver() {
        MemberView abcd = view(4, a.member, b.member, c.member, d.member);
        String key = keyMovingBetween(a.member, abc, d.member, abcd);
        d.read(view(1, a.member), 0);
        d.read(view(2, a.member, b.member), 0);
        d.read(abc, 0);
        d.read(abcd, 0);
        d.ownership.onHandover(b.member, 4, Set.of(), 1);
        d.ownership.onHandover(c.member, 4, Set.of(), 1);
        assertThat(d.ownership.refusalFor(key, 2)).contains(ErrorCode.KEY_IN_DOUBT);
        d.ownership.onHandover(a.member, 4, Set.of(), 2);
        assertThat(d.ownership.refusalFor(key, 3)).isEmpty();
    }

    @Test
    void aNodeThatWaitsForATakeoverDoesNotVouchForTheFormerOwner() {
        MemberView bcd = view(5, b.member, c.member, d.member);
        b.read(abc, 0);
        b.read(bc, 0);
        b.read(bcd, 1);
        assertThat(b.ownership.handoverRecipients(2)).containsExactly(d.member);
        assertThat(b.ownership.unsettled(2)).contains(a.member);
        b.ownership.onHandover(a.member, 4, Set.of(), 3);
        assertThat(b.ownership.unsettled(4)).doesNotContain(a.member);
        b.ownership.onHandoverAccepted(d.member, 5);
        assertThat(b.ownership.handoverRecipients(5)).isEmpty();
    }

    /** Guards against treating a handover to one node as one to all; found by the fault matrix. */
    @Test
    void aHandoverDoesNotVouchForUnsettledOwners() {
        MemberView bcd = view(5, b.member, c.member, d.member);
        String key = keyMovingBetween(a.member, abc, d.member, bcd);
        d.read(abc, 0);
        d.read(bc, 0);
        d.read(bcd, 0);
        d.ownership.onHandover(b.member, 5, Set.of(a.member), 1);
        d.ownership.onHandover(c.member, 5, Set.of(a.member), 1);
        assertThat(d.ownership.refusalFor(key, 2)).contains(ErrorCode.KEY_IN_DOUBT);
        d.ownership.onHandover(b.member, 5, Set.of(), 3);
        d.ownership.onHandover(c.member, 5, Set.of(), 3);
        assertThat(d.ownership.refusalFor(key, 4)).isEmpty();
    }

    /**
     * Guards against treating a handover as covering keys that the receiver did not own at that
     * time; found by the fault matrix.
     */
    @Test
    void aHandoverDoesNotCoverAKeyThatAnotherMemberOwnedThen() {
        MemberView onlyC = view(5, c.member);
        String key = "";
        for (int i = 0; key.isEmpty(); i++) {
            String candidate = "key-" + i;
            boolean moves =
                    abc.ownerOf(TestNode.SERVICE, candidate).filter(a.member::equals).isPresent()
                            && bc.ownerOf(TestNode.SERVICE, candidate)
                                    .filter(b.member::equals)
                                    .isPresent();
            key = moves ? candidate : "";
        }
        c.read(abc, 0);
        c.read(bc, 0);
        c.ownership.onHandover(a.member, 4, Set.of(), 1);
        c.read(onlyC, 2);
        c.ownership.onHandover(b.member, 5, Set.of(a.member), 3);
        assertThat(c.ownership.refusalFor(key, 4)).contains(ErrorCode.KEY_IN_DOUBT);
        assertThat(c.ownership.unsettled(4)).contains(a.member);
    }

    @Test
    void aLeavingNodeConfirmsNoMemberAndStartsNoCall() {
        String key = keyOwnedBy(a.member, abc);
        a.read(abc, 0);
        a.ownership.leave();
        assertThat(a.ownership.offsetToReport()).isEmpty();
        assertThat(a.ownership.refusalFor(key, 1)).contains(ErrorCode.KEY_NOT_OWNED);
    }

    @Test
    void twoMembersCannotVouchForEachOther() {
        MemberView ab = view(3, a.member, b.member);
        a.read(ab, 0);
        a.ownership.onPeerOffset(b.member, 3, 10 * SECOND, 10 * SECOND);
        assertThat(a.ownership.refusalFor(keyOwnedBy(a.member, ab), 10 * SECOND))
                .contains(ErrorCode.KEY_NOT_OWNED);
    }

    @Test
    void aNodeThatMissedRecordsRunsNoKeyedCallForTheWindow() {
        String key = keyOwnedBy(a.member, abc);
        a.read(abc, 0);
        a.ownership.onMissedRecords(1);
        assertThat(a.ownership.refusalFor(key, 1)).contains(ErrorCode.KEY_NOT_OWNED);
        a.read(view(9, a.member, b.member, c.member), 1);
        assertThat(a.ownership.refusalFor(key, 2)).contains(ErrorCode.KEY_IN_DOUBT);
        long afterWindow = 1 + a.ownership.takeoverWaitNanos();
        a.ownership.onLogEnd(afterWindow);
        assertThat(a.ownership.refusalFor(key, afterWindow)).isEmpty();
    }

    @Test
    void aHandoverFromAProcessSettlesItForAllSenders() {
        MemberView ac = view(4, a.member, c.member);
        MemberView acd = view(5, a.member, c.member, d.member);
        a.read(abc, 0);
        a.ownership.onHandover(c.member, 3, Set.of(b.member), 1);
        a.read(ac, 2);
        a.ownership.onHandover(b.member, 4, Set.of(a.member, c.member), 3);
        a.read(acd, 4);
        assertThat(a.ownership.unsettled(5)).doesNotContain(b.member);
    }

    /**
     * Guards against a member that joins between the leave of an owner and its handover, and that
     * then runs keys of the owner again; found by the fault matrix.
     */
    @Test
    void aLeavingOwnerHandsOverToMembersThatJoinBeforeItIsDone() {
        a.read(abc, 0);
        a.read(bc, 1);
        a.read(view(5, b.member, c.member, d.member), 1);
        assertThat(a.ownership.handoverRecipients(2))
                .containsExactlyInAnyOrder(b.member, c.member, d.member);
    }

    @Test
    void aHandoverUnderALaterViewDoesNotSettleKeysThatHaveMovedOnSince() {
        MemberView bcd = view(5, b.member, c.member, d.member);
        b.read(abc, 0);
        b.read(bc, 1);
        b.read(bcd, 1);
        b.ownership.onHandover(a.member, 5, Set.of(), 2);
        assertThat(b.ownership.unsettled(3)).contains(a.member);
    }

    /**
     * Guards against vouching for a former owner after all registrations have expired, as they do
     * when the log was down; found by the fault matrix.
     */
    @Test
    void aMemberDoesNotVouchForOwnersFromBeforeAllRegistrationsExpired() {
        MemberView none = view(4);
        a.read(abc, 0);
        a.read(none, 1);
        a.read(view(5, a.member), 1);
        a.read(view(6, a.member, b.member, c.member), 1);
        assertThat(a.ownership.unsettled(2)).contains(b.member);
    }
}
