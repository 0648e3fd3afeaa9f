package org.dogwoodwood.core.idempotency;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.core.idempotency.TestNode.WINDOW;
import static org.dogwoodwood.core.idempotency.TestNode.keyMovingBetween;
import static org.dogwoodwood.core.idempotency.TestNode.view;

import java.util.List;
import java.util.Set;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.TargetAnswer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a second run of a call with a known key. */
class DefaultIdempotencyRegistryTests {

    private final TestNode a = new TestNode("a", 1);
    private final TestNode b = new TestNode("b", 1);
    private final TestNode c = new TestNode("c", 1);
    private final MemberView abc = view(3, a.member, b.member, c.member);
    private final MemberView bc = view(4, Set.of(a.member), b.member, c.member);
    private final String key = keyMovingBetween(a.member, abc, b.member, bc);

    @BeforeEach
    void readMembers() {
        List.of(a, b, c).forEach(node -> node.read(abc, 0));
    }

    @Test
    void aRepeatedKeyIsRefusedWhileItsFirstCallRuns() {
        assertThat(a.begin(key, 1)).isEqualTo(KeyDecision.run());
        assertThat(a.begin(key, 2).refusal()).contains(ErrorCode.KEY_IN_PROGRESS);
    }

    @Test
    void aRepeatedKeyGetsTheKeptAnswer() {
        TargetAnswer answer = a.run(key, 1);
        assertThat(a.begin(key, 2)).isEqualTo(KeyDecision.replay(answer));
    }

    @Test
    void anotherRequestWithAUsedKeyIsRefused() {
        a.run(key, 1);
        assertThat(a.registry.begin(a.call(key, 2), 2).refusal()).contains(ErrorCode.KEY_REUSED);
    }

    @Test
    void aReleasedKeyCanBeUsedAgain() {
        CallDescription call = a.call(key, 1);
        a.registry.begin(call, 1);
        a.registry.release(call);
        assertThat(a.begin(key, 2)).isEqualTo(KeyDecision.run());
    }

    @Test
    void aCallThatEndsLateDoesNotEndAnotherOne() {
        CallDescription first = a.call(key, 1);
        a.registry.begin(first, 1);
        a.registry.release(first);
        a.begin(key, 2);
        a.registry.release(first);
        assertThat(a.begin(key, 3).refusal()).contains(ErrorCode.KEY_IN_PROGRESS);
    }

    @Test
    void anUnknownOutcomeLeavesTheKeyInDoubtForTheWindow() {
        CallDescription call = a.call(key, 1);
        a.registry.begin(call, 0);
        a.registry.markInDoubt(call, 1);
        a.ownership.onLogEnd(WINDOW);
        assertThat(a.begin(key, WINDOW).refusal()).contains(ErrorCode.KEY_IN_DOUBT);
        assertThat(a.begin(key, WINDOW + 1)).isEqualTo(KeyDecision.run());
    }

    @Test
    void aRunningCallIsRememberedBeyondTheWindow() {
        a.begin(key, 0);
        a.ownership.onLogEnd(2 * WINDOW);
        assertThat(a.begin(key, 2 * WINDOW).refusal()).contains(ErrorCode.KEY_IN_PROGRESS);
    }

    @Test
    void aFullRegistryRefusesNewKeysAndKeepsOldOnes() {
        DefaultIdempotencyRegistry small =
                DefaultIdempotencyRegistry.create(a.ownership, new KeyLimits(1, 1, 1));
        small.begin(a.call(key, 1), 1);
        String other = keyMovingBetween(a.member, abc, c.member, bc);
        assertThat(small.begin(a.call(other, 1), 2).refusal()).contains(ErrorCode.OVERLOADED);
        assertThat(small.begin(a.call(key, 1), 3).refusal()).contains(ErrorCode.KEY_IN_PROGRESS);
    }

    @Test
    void aDroppedAnswerLeavesItsKeyInDoubt() {
        DefaultIdempotencyRegistry small =
                DefaultIdempotencyRegistry.create(a.ownership, new KeyLimits(2, 1, 1));
        CallDescription call = a.call(key, 1);
        small.begin(call, 1);
        small.complete(call, TargetAnswer.of(200, List.of(), new byte[2]), 1);
        assertThat(small.begin(a.call(key, 1), 2).refusal()).contains(ErrorCode.KEY_IN_DOUBT);
    }

    @Test
    void aQueuedCallDoesNotStartAfterItsKeyHasMoved() {
        CallDescription call = a.call(key, 1);
        a.registry.begin(call, 1);
        assertThat(a.registry.mayStart(call, 1)).isTrue();
        a.read(bc, 2);
        assertThat(a.registry.mayStart(call, 2)).isFalse();
    }

    @Test
    void theNextOwnerReplaysAnAnswerThatWasHandedOver() {
        TargetAnswer answer = a.run(key, 1);
        leave(a);
        assertThat(b.begin(key, 3)).isEqualTo(KeyDecision.replay(answer));
    }

    @Test
    void theNextOwnerRefusesAKeyWhoseCallStillRunsUntilItReceivesTheAnswer() {
        CallDescription call = a.call(key, 1);
        a.registry.begin(call, 1);
        leave(a);
        assertThat(b.begin(key, 3).refusal()).contains(ErrorCode.KEY_IN_PROGRESS);
        TargetAnswer answer = TargetAnswer.of(200, List.of(), new byte[] {1});
        a.registry.complete(call, answer, 4);
        a.registry.drainUpdates().forEach(frame -> b.registry.receive(frame, 4));
        assertThat(b.begin(key, 5)).isEqualTo(KeyDecision.replay(answer));
    }

    @Test
    void theNextOwnerRunsACallThatTheFormerOneReleased() {
        CallDescription call = a.call(key, 1);
        a.registry.begin(call, 1);
        leave(a);
        a.registry.release(call);
        List<KeyHandover> updates = a.registry.drainUpdates();
        updates.forEach(frame -> b.registry.receive(frame, 4));
        assertThat(b.begin(key, 5)).isEqualTo(KeyDecision.run());
        updates.forEach(frame -> b.registry.receive(frame, 6));
        assertThat(b.begin(key, 7).refusal()).contains(ErrorCode.KEY_IN_PROGRESS);
    }

    @Test
    void aHandoverInSeveralFramesCountsOnlyWhenAllHaveArrived() {
        TestNode small = a;
        DefaultIdempotencyRegistry registry =
                DefaultIdempotencyRegistry.create(small.ownership, new KeyLimits(10, 100, 1));
        registry.begin(small.call(key, 1), 1);
        registry.begin(small.call(secondKey(), 1), 1);
        List.of(a, b).forEach(node -> node.read(bc, 2));
        List<KeyHandover> frames = registry.prepareHandover(b.member, 2);
        assertThat(frames).hasSize(2);
        b.registry.receive(frames.get(0), 3);
        assertThat(b.begin(key, 3).refusal()).contains(ErrorCode.KEY_IN_DOUBT);
        b.registry.receive(frames.get(1), 3);
        assertThat(b.begin(key, 3).refusal()).contains(ErrorCode.KEY_IN_PROGRESS);
    }

    @Test
    void aHandoverForAnotherProcessIsNotAccepted() {
        List.of(a, b).forEach(node -> node.read(bc, 2));
        KeyHandover frame = a.registry.prepareHandover(c.member, 2).get(0);
        assertThat(b.registry.receive(frame, 3)).isFalse();
        assertThat(b.begin(key, 3).refusal()).contains(ErrorCode.KEY_IN_DOUBT);
    }

    private String secondKey() {
        for (int i = 0; ; i++) {
            String candidate = "second-" + i;
            if (abc.ownerOf(TestNode.SERVICE, candidate).filter(a.member::equals).isPresent()
                    && bc.ownerOf(TestNode.SERVICE, candidate)
                            .filter(b.member::equals)
                            .isPresent()) {
                return candidate;
            }
        }
    }

    private void leave(TestNode leaver) {
        leaver.ownership.leave();
        List.of(a, b, c).forEach(node -> node.read(bc, 2));
        assertThat(leaver.ownership.handoverRecipients(2)).containsExactly(b.member, c.member);
        leaver.handOverTo(b, 2);
        leaver.handOverTo(c, 2);
        assertThat(leaver.ownership.handoverRecipients(2)).isEmpty();
    }
}
