package org.dogwoodwood.core.calls;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetAnswer;
import org.junit.jupiter.api.Test;

/** Guards against attempts that run twice and answers that are evicted too early. */
class CallRegistryTests {

    private static final long RETENTION_NANOS = 1_000;

    private final CallRegistry registry = CallRegistry.create(RETENTION_NANOS, 3, 4_000);

    @Test
    void runsAnAttemptOnceAndKeepsItsAnswer() {
        AttemptId id = id("a", 1, 1);
        FinishedCall answer = answer(10);

        assertThat(registry.begin(id, 0)).isEqualTo(CallState.NEW);
        assertThat(registry.begin(id, 1)).isEqualTo(CallState.RUNNING);
        registry.finish(id, answer, 2);

        assertThat(registry.begin(id, 3)).isEqualTo(CallState.FINISHED);
        assertThat(registry.resumeOrCancel(id, 3)).isEqualTo(CallState.FINISHED);
        assertThat(registry.finished(id)).containsSame(answer);
    }

    @Test
    void neverRunsALateCallThatWasResumedOrCancelled() {
        AttemptId id = id("a", 1, 1);

        assertThat(registry.resumeOrCancel(id, 0)).isEqualTo(CallState.CANCELLED);
        assertThat(registry.begin(id, 1)).isEqualTo(CallState.CANCELLED);
        assertThat(registry.begin(id, RETENTION_NANOS * 5)).isEqualTo(CallState.EVICTED);
    }

    @Test
    void evictsByTimeCountAndSizeWithoutRunningAgain() {
        for (long counter = 1; counter <= 5; counter++) {
            run(id("a", 1, counter), answer(10), 0);
        }
        assertThat(registry.retainedAttempts()).isEqualTo(3);
        assertThat(registry.begin(id("a", 1, 1), 1)).isEqualTo(CallState.EVICTED);

        run(id("a", 1, 6), answer(5_000), 2);
        assertThat(registry.retainedBytes()).isZero();
        assertThat(registry.begin(id("a", 1, 6), 3)).isEqualTo(CallState.EVICTED);
        assertThat(registry.begin(id("a", 1, 7), 3)).isEqualTo(CallState.NEW);
    }

    @Test
    void treatsEarlierIncarnationsAsEvictedAndOtherNodesAsNew() {
        run(id("a", 5, 9), answer(1), 0);
        long later = RETENTION_NANOS * 2;

        assertThat(registry.begin(id("a", 4, 100), later)).isEqualTo(CallState.EVICTED);
        assertThat(registry.begin(id("a", 6, 1), later)).isEqualTo(CallState.NEW);
        assertThat(registry.begin(id("b", 1, 1), later)).isEqualTo(CallState.NEW);
    }

    @Test
    void keepsRunningAttemptsWhileLaterOnesAreEvicted() {
        AttemptId open = id("a", 1, 1);
        assertThat(registry.begin(open, 0)).isEqualTo(CallState.NEW);
        for (long counter = 2; counter <= 9; counter++) {
            run(id("a", 1, counter), answer(10), 1);
        }

        assertThat(registry.begin(open, 2)).isEqualTo(CallState.RUNNING);
        assertThat(registry.resumeOrCancel(open, 2)).isEqualTo(CallState.RUNNING);
        assertThat(registry.begin(AttemptId.of(open.call(), 1), 2)).isEqualTo(CallState.EVICTED);
        FinishedCall answer = answer(20);
        registry.finish(open, answer, 3);
        assertThat(registry.resumeOrCancel(open, 3)).isEqualTo(CallState.FINISHED);
        assertThat(registry.finished(open)).containsSame(answer);
    }

    @Test
    void rejectsFinishOfAnAttemptThatNeverBegan() {
        assertThatThrownBy(() -> registry.finish(id("a", 1, 1), answer(1), 0))
                .isInstanceOf(IllegalStateException.class);
    }

    @Test
    void neverRunsAnAttemptTwiceInAnyOrderOfEvents() {
        Random random = new Random(20261204);
        Set<AttemptId> ran = new HashSet<>();
        Set<AttemptId> neverRuns = new HashSet<>();
        Map<AttemptId, Boolean> running = new HashMap<>();
        long now = 0;
        for (int step = 0; step < 50_000; step++) {
            now += random.nextInt(100);
            AttemptId id = id("n" + random.nextInt(2), 1 + step / 20_000, random.nextInt(60));
            if (running.containsKey(id) && random.nextBoolean()) {
                running.remove(id);
                registry.finish(id, answer(random.nextInt(3_000)), now);
            } else if (random.nextInt(4) == 0) {
                if (registry.resumeOrCancel(id, now) == CallState.CANCELLED) {
                    assertThat(ran).doesNotContain(id);
                    neverRuns.add(id);
                }
            } else if (registry.begin(id, now) == CallState.NEW) {
                assertThat(ran.add(id)).isTrue();
                assertThat(neverRuns).doesNotContain(id);
                running.put(id, true);
            }
            assertThat(registry.retainedAttempts()).isLessThanOrEqualTo(3);
            assertThat(registry.retainedBytes()).isBetween(0L, 4_000L);
        }
        assertThat(ran).hasSizeGreaterThan(50);
    }

    private void run(AttemptId id, FinishedCall finished, long now) {
        assertThat(registry.begin(id, now)).isEqualTo(CallState.NEW);
        registry.finish(id, finished, now);
    }

    private static AttemptId id(String node, long incarnation, long counter) {
        return AttemptId.of(CallId.of(NodeId.of(node), incarnation, counter), 0);
    }

    private static FinishedCall answer(int bytes) {
        return bytes == 0
                ? FinishedCall.unknown(ErrorCode.TARGET_FAILED)
                : FinishedCall.answered(TargetAnswer.of(200, List.of(), new byte[bytes]));
    }
}
