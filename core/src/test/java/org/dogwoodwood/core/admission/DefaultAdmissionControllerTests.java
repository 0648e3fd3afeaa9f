package org.dogwoodwood.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.admission.AdmissionDecision.Kind;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.junit.jupiter.api.Test;

class DefaultAdmissionControllerTests {

    private static final long MILLI = 1_000_000L;
    private static final long DEADLINE = 2_000 * MILLI;
    private static final Map<String, CallClassDefinition> CLASSES =
            Map.of(
                    "gold", new CallClassDefinition("gold", 3, 1.0),
                    "bronze", new CallClassDefinition("bronze", 1, 0.5));

    private final DefaultAdmissionController controller = controller(capacity(4, 240, 4, false, 1));
    private long counter;
    private long now;

    // A guard that admits more than the slots overloads the target.
    @Test
    void neverStartsMoreThanTheSlots() {
        for (int i = 0; i < 4; i++) {
            assertThat(offer("gold", true).kind()).isEqualTo(Kind.START);
        }
        assertThat(offer("gold", true).kind()).isEqualTo(Kind.QUEUE);
        assertThat(controller.nextStartable(now)).isEmpty();
        assertThat(controller.inFlight()).isEqualTo(4);
    }

    // In a burst, serving calls strictly by deadline makes all of them miss their objective.
    @Test
    void startsCallsThatCanMeetTheirObjectiveBeforeLateCalls() {
        for (int i = 0; i < 4; i++) {
            offer("gold", true);
        }
        CallDescription late = call("gold", true, DEADLINE, MILLI);
        CallDescription inTime = call("gold", true, 2 * DEADLINE, DEADLINE / 2);
        assertThat(controller.offer(late, now).kind()).isEqualTo(Kind.QUEUE);
        assertThat(controller.offer(inTime, now).kind()).isEqualTo(Kind.QUEUE);
        now += 5 * MILLI;
        controller.onEnded(id(0), 0, 5 * MILLI, false, now);
        controller.onEnded(id(1), 0, 5 * MILLI, false, now);

        assertThat(controller.nextStartable(now)).contains(inTime);
        assertThat(controller.nextStartable(now)).contains(late);
    }

    // Calls queued behind a few long ones miss their deadline while other targets have free slots.
    @Test
    void returnsCallsForReroutingAfterALongWait() {
        controller.onSlowdown(1.0, now);
        fillSlots();
        CallDescription waiting = call("gold", true, DEADLINE);
        assertThat(controller.offer(waiting, now).kind()).isEqualTo(Kind.QUEUE);
        assertThat(controller.removeMovable(now)).isEmpty();
        now += 70 * MILLI;

        assertThat(controller.removeMovable(now)).containsExactly(waiting);
    }

    // A call that starts with too little time left is abandoned at its deadline with an unknown
    // outcome.
    @Test
    void expiresQueuedCallsThatCannotFinishBeforeTheirDeadline() {
        for (int i = 0; i < 4; i++) {
            offer("gold", true);
        }
        CallDescription unfinishable = call("gold", true, 50 * MILLI);
        assertThat(controller.offer(unfinishable, now).kind()).isEqualTo(Kind.QUEUE);
        now += 49 * MILLI;

        assertThat(controller.removeExpired(now)).containsExactly(unfinishable);
    }

    // A call that starts in a slow phase caused by a neighbour takes several times as long, even
    // after the phase has ended, and blocks its slot for calls that would finish in time.
    @Test
    void startsNoCallDuringASlowPhaseOfOneSecond() {
        controller.onSlowdown(7.0, now);
        assertThat(offer("gold", false).refusal()).contains(ErrorCode.GUARD_BUSY);
        CallDescription held = lastAttempt("gold");
        assertThat(controller.offer(held, now).kind()).isEqualTo(Kind.QUEUE);
        for (int i = 0; i < 20; i++) {
            now += 50 * MILLI;
            controller.onSlowdown(7.0, now);
            assertThat(controller.nextStartable(now)).isEmpty();
            assertThat(offer("gold", true).refusal()).contains(ErrorCode.GUARD_BUSY);
        }
        now += 50 * MILLI;
        controller.onSlowdown(1.0, now);

        assertThat(controller.nextStartable(now)).contains(held);
    }

    // Calls that wait for the end of a slow phase are late although other targets are not slow.
    @Test
    void returnsQueuedCallsForReroutingWhenASlowPhaseBegins() {
        controller.onSlowdown(1.0, now);
        fillSlots();
        CallDescription queued = call("gold", true, DEADLINE);
        CallDescription last = lastAttempt("gold");
        assertThat(controller.offer(queued, now).kind()).isEqualTo(Kind.QUEUE);
        assertThat(controller.offer(last, now).kind()).isEqualTo(Kind.QUEUE);
        controller.onSlowdown(7.0, now);

        assertThat(controller.removeMovable(now)).containsExactly(queued);
        assertThat(controller.queued()).isEqualTo(1);
    }

    // A target that stays slow still has capacity; calls held until their deadline are lost.
    @Test
    void startsCallsAtATargetThatStaysSlow() {
        for (int i = 0; i < 32; i++) {
            controller.onSlowdown(7.0, now);
            now += 50 * MILLI;
        }
        controller.onSlowdown(7.0, now);

        assertThat(offer("gold", true).kind()).isEqualTo(Kind.START);
    }

    // A guard polls more often than it starts calls in slow phases. If these reports counted, the
    // reported service time would be too short, and senders would expect shorter waits than their
    // calls have.
    @Test
    void reportsTheUsualServiceTimeWhenMostReportsFallInSlowPhases() {
        for (int i = 0; i < 80; i++) {
            for (int poll = 0; poll < 5; poll++) {
                controller.onSlowdown(7.0, now);
            }
            controller.onSlowdown(1.0, now);
            CallDescription call = call("gold", true, now + DEADLINE);
            assertThat(controller.offer(call, now).kind()).isEqualTo(Kind.START);
            now += 100 * MILLI;
            controller.onEnded(call.id(), 0, 100 * MILLI, false, now);
        }

        assertThat(controller.serviceTimeNanos(now)).isBetween(90 * MILLI, 110 * MILLI);
    }

    // A target that accepts fewer connections than it has slots refuses the excess calls.
    @Test
    void limitsCallsInFlightToTheConnections() {
        DefaultAdmissionController bounded = controller(capacity(4, 2, 4, false, 1));
        bounded.offer(call("gold", true, DEADLINE), now);
        bounded.offer(call("gold", true, DEADLINE), now);
        assertThat(bounded.offer(call("gold", true, DEADLINE), now).kind()).isEqualTo(Kind.QUEUE);
    }

    // A cold target that receives calls above its sustainable rate collapses.
    @Test
    void limitsTheStartRateOfAColdTarget() {
        PolicyDefinition defaults = PolicyDefinition.withDefaults("default");
        PolicyDefinition policy =
                new PolicyDefinition(
                        "default",
                        defaults.retryShare(),
                        defaults.hedgeQuantile(),
                        60_000,
                        18,
                        defaults.ejectionShare(),
                        defaults.crashLimit(),
                        defaults.crashHoldSeconds(),
                        36,
                        0);
        DefaultAdmissionController cold =
                DefaultAdmissionController.create(
                        policy, CLASSES, capacity(18, 240, 18, true, 1), 0);
        int started = 0;
        for (now = 0; now < 1_000 * MILLI; now += MILLI) {
            CallDescription call = call("gold", true, now + 10_000 * MILLI);
            if (cold.offer(call, now).kind() == Kind.START) {
                started++;
                cold.onEnded(call.id(), 0, MILLI, false, now);
            }
            Optional<CallDescription> next = cold.nextStartable(now);
            if (next.isPresent()) {
                started++;
                cold.onEnded(next.get().id(), 0, MILLI, false, now);
            }
        }
        assertThat(started).isBetween(34, 40);
    }

    // The ingress can try another target in time only if a busy guard refuses immediately.
    @Test
    void refusesImmediatelyWhenTheCallMayNotQueue() {
        fillSlots();
        assertThat(offer("gold", false).refusal()).contains(ErrorCode.GUARD_BUSY);
    }

    // Under overload, all calls in an unbounded queue miss their deadlines.
    @Test
    void refusesOnceTheExpectedWaitExceedsTheLimit() {
        fillSlots();
        AdmissionDecision last = offer("gold", true);
        int queued = 0;
        while (last.kind() == Kind.QUEUE && queued < 1_000) {
            queued++;
            last = offer("gold", true);
        }
        assertThat(last.refusal()).contains(ErrorCode.OVERLOADED);
        assertThat(controller.queued()).isEqualTo(queued);
    }

    // A call started after its deadline is wasted work.
    @Test
    void removesQueuedCallsPastTheirDeadline() {
        fillSlots();
        CallDescription overdue = call("gold", true, 20 * MILLI);
        controller.offer(overdue, now);
        CallDescription inTime = call("gold", true, DEADLINE);
        controller.offer(inTime, now);
        now = 30 * MILLI;
        endCall(0);
        assertThat(controller.nextStartable(now)).contains(inTime);
        assertThat(controller.removeExpired(now)).containsExactly(overdue);
    }

    // Without weights, the class with the most calls occupies the whole target.
    @Test
    void startsQueuedClassesByWeight() {
        fillSlots();
        for (int i = 0; i < 4; i++) {
            offer("bronze", true);
        }
        for (int i = 0; i < 4; i++) {
            offer("gold", true);
        }
        int gold = 0;
        for (int i = 0; i < 4; i++) {
            endCall(i);
            Optional<CallDescription> next = controller.nextStartable(now);
            gold += next.orElseThrow().callClass().equals("gold") ? 1 : 0;
        }
        assertThat(gold).isEqualTo(3);
    }

    // A class above its share starves classes whose calls are rare.
    @Test
    void refusesAClassAboveItsShare() {
        offer("bronze", true);
        offer("bronze", true);
        assertThat(offer("bronze", true).refusal()).contains(ErrorCode.CLASS_LIMIT);
        assertThat(offer("gold", true).kind()).isEqualTo(Kind.START);
    }

    // A cold target collapses under full load, even if it announces itself as warm after a restart.
    @Test
    void rampsUpOnlyAfterSuccessfulCalls() {
        DefaultAdmissionController cold = controller(capacity(16, 240, 1, true, 1));
        assertThat(cold.limit()).isEqualTo(1);
        runCalls(cold, 20);
        assertThat(cold.limit()).isEqualTo(1);
        cold.onCapacity(capacity(16, 240, 1, false, 1), now);
        runCalls(cold, 2);
        assertThat(cold.limit()).isBetween(2, 4);
        runCalls(cold, 100);
        assertThat(cold.limit()).isEqualTo(16);
        cold.onCapacity(capacity(16, 240, 1, false, 2), now);
        assertThat(cold.limit()).isEqualTo(1);
        runCalls(cold, 7);
        assertThat(cold.limit()).isEqualTo(1);
        runCalls(cold, 3);
        assertThat(cold.limit()).isBetween(2, 4);
    }

    // When a neighbour slows the target down, new calls must be sent elsewhere before the slow
    // calls have ended, but calls that found no slot elsewhere must still start here.
    @Test
    void refusesCallsThatCanRunElsewhereWhileTheTargetIsSlow() {
        DefaultAdmissionController slowed = controller(capacity(8, 240, 8, false, 1));
        runCalls(slowed, 200);
        for (int i = 0; i < 6; i++) {
            slowed.offer(call("gold", true, now + DEADLINE), now);
        }
        now += 40 * MILLI;
        assertThat(slowed.serviceTimeNanos(now)).isGreaterThan(15 * MILLI);
        assertThat(slowed.offer(call("gold", false, now + DEADLINE), now).refusal())
                .contains(ErrorCode.GUARD_BUSY);
        assertThat(slowed.offer(call("gold", true, now + DEADLINE), now).kind())
                .isEqualTo(Kind.START);
    }

    // Calls queued behind slow ones must be sent to another target, so that no guard refuses them
    // late.
    @Test
    void returnsQueuedCallsForReroutingWhenCallsInFlightTakeLong() {
        DefaultAdmissionController slowed = controller(capacity(4, 240, 4, false, 1));
        runCalls(slowed, 200);
        for (int i = 0; i < 4; i++) {
            slowed.offer(call("gold", true, now + DEADLINE), now);
        }
        CallDescription queued = call("gold", true, now + DEADLINE);
        assertThat(slowed.offer(queued, now).kind()).isEqualTo(Kind.QUEUE);
        assertThat(slowed.removeMovable(now)).isEmpty();
        now += 40 * MILLI;
        assertThat(slowed.removeMovable(now)).containsExactly(queued);
        assertThat(slowed.queued()).isZero();
    }

    // A cancelled call that starts anyway is wasted work.
    @Test
    void cancelsOnlyQueuedCalls() {
        fillSlots();
        CallDescription queued = call("gold", true, DEADLINE);
        controller.offer(queued, now);
        assertThat(controller.cancelQueued(queued.id(), 0)).isTrue();
        assertThat(controller.cancelQueued(queued.id(), 0)).isFalse();
        assertThat(controller.queued()).isZero();
    }

    private void fillSlots() {
        for (int i = controller.limit(); i > 0; i--) {
            assertThat(offer("gold", true).kind()).isEqualTo(Kind.START);
        }
    }

    private AdmissionDecision offer(String callClass, boolean mayQueue) {
        return controller.offer(call(callClass, mayQueue, DEADLINE), now);
    }

    private void endCall(long number) {
        controller.onEnded(id(number), 0, 6 * MILLI, false, now);
    }

    private void runCalls(DefaultAdmissionController target, int calls) {
        for (int i = 0; i < calls; i++) {
            CallDescription call = call("gold", true, now + DEADLINE);
            assertThat(target.offer(call, now).kind()).isEqualTo(Kind.START);
            now += 6 * MILLI;
            target.onEnded(call.id(), 0, 6 * MILLI, false, now);
        }
    }

    /** Returns a call whose attempt number is too high for it to be moved again. */
    private CallDescription lastAttempt(String callClass) {
        return call(callClass, 4, true, DEADLINE, DEADLINE);
    }

    private CallDescription call(String callClass, boolean mayQueue, long deadline) {
        return call(callClass, mayQueue, deadline, deadline);
    }

    private CallDescription call(
            String callClass, boolean mayQueue, long deadline, long objective) {
        return call(callClass, 0, mayQueue, deadline, objective);
    }

    private CallDescription call(
            String callClass, int attempt, boolean mayQueue, long deadline, long objective) {
        return new CallDescription(
                id(counter++),
                attempt,
                "outings",
                callClass,
                true,
                Optional.empty(),
                0,
                0,
                deadline,
                objective,
                mayQueue);
    }

    private static CallId id(long number) {
        return CallId.of(NodeId.of("ingress"), 1, number);
    }

    private static DefaultAdmissionController controller(TargetCapacity capacity) {
        return DefaultAdmissionController.create(
                PolicyDefinition.withDefaults("default"), CLASSES, capacity, 0);
    }

    private static TargetCapacity capacity(
            int slots, int connections, int coldSlots, boolean cold, long incarnation) {
        return new TargetCapacity(slots, connections, coldSlots, cold, incarnation);
    }
}
