package org.dogwoodwood.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.configuration.AccountDefinition;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.junit.jupiter.api.Test;

/** Guards against an account whose load takes the capacity of the other accounts. */
class AccountSharingTests {

    private static final long MILLI = 1_000_000L;
    private static final int SLOTS = 6;
    private static final int SERVICE_MILLIS = 10;
    private static final int ACCOUNTS = 20;
    private static final double LIMIT_TO_USUAL = 1.6;

    private long counter;

    /** A large account sends 5 times its usual load for 6 s to a target that is nearly full. */
    @Test
    void anAccountThatFloodsATargetBearsTheCostItself() {
        double[] withoutAccounts = replay(false, 0, 1);
        double[] shares = replay(true, 0, 1);

        // Each account may send 1.2 times its usual load; some send nearly that by chance.
        for (int account = 1; account < ACCOUNTS; account++) {
            assertThat(shares[account]).as("account " + account).isGreaterThan(0.8);
        }
        assertThat(meanOfOthers(shares)).isGreaterThan(0.93);
        // The load can make the test fail: one queue for all refuses calls of all accounts.
        assertThat(meanOfOthers(withoutAccounts)).isLessThan(0.7);
        // The unused capacity goes to the large account.
        assertThat(shares[0]).isBetween(0.25, 0.7);
    }

    /** All accounts send 1.5 times their usual load. */
    @Test
    void noAccountIsStarvedWhenAllSendTooMuch() {
        double[] shares = replay(true, -1, 1.5);

        double all = 0.8;
        for (int account = 0; account < ACCOUNTS; account++) {
            assertThat(shares[account]).as("account " + account).isGreaterThan(all / 4);
        }
        assertThat(shares[ACCOUNTS - 1]).isGreaterThan(0.5);
    }

    /** Calls of a small account always arrive too late for their objective. */
    @Test
    void anAccountWithLateCallsGetsAQuarterOfItsShare() {
        DeadlineQueue queue = new DeadlineQueue(Map.of());
        for (int i = 0; i < 40; i++) {
            queue.add(call("late", 0), 0);
            queue.add(call("large", 1_000 * MILLI), 0);
        }
        long served = 0;
        for (int i = 0; i < 40; i++) {
            Optional<String> account = queue.poll(10 * MILLI, MILLI).orElseThrow().account();
            served += account.equals(Optional.of("late")) ? 1 : 0;
        }
        assertThat(served).isBetween(8L, 12L);
    }

    @Test
    void refusesFirstTheAccountWithMoreThanItsShare() {
        DefaultAdmissionController controller = controller();
        while (controller.offer(call("large", 1_000 * MILLI), 0).refusal().isEmpty()) {
            assertThat(controller.queued()).isLessThan(1_000);
        }

        assertThat(controller.offer(call("large", 1_000 * MILLI), 0).refusal())
                .contains(ErrorCode.OVERLOADED);
        assertThat(controller.offer(call("small", 1_000 * MILLI), 0).kind())
                .isEqualTo(AdmissionDecision.Kind.QUEUE);
        // Calls without an account are one account.
        assertThat(controller.offer(call("", 1_000 * MILLI), 0).kind())
                .isEqualTo(AdmissionDecision.Kind.QUEUE);
    }

    private static double meanOfOthers(double[] shares) {
        return Arrays.stream(shares).skip(1).average().orElseThrow();
    }

    /** Returns the share of the calls of each account that were started, of those in the flood. */
    private double[] replay(boolean withAccounts, int flooder, double factor) {
        SplittableRandom random = new SplittableRandom(7);
        DefaultAdmissionController controller = controller();
        List<AccountDefinition> accounts = new ArrayList<>();
        double[] rates = new double[ACCOUNTS];
        for (int account = 0; account < ACCOUNTS; account++) {
            // Usual loads from 170 to 5 calls per second, 500 of the capacity of 600 in total.
            rates[account] = account == 0 ? 170 : account < 5 ? 45 : 10;
            accounts.add(
                    new AccountDefinition(
                            "a" + account,
                            Set.of(),
                            Optional.empty(),
                            rates[account] * LIMIT_TO_USUAL,
                            1));
        }
        controller.onAccounts(accounts);
        int[] offered = new int[ACCOUNTS];
        int[] started = new int[ACCOUNTS];
        PriorityQueue<Running> running = new PriorityQueue<>();
        for (long millis = 0; millis < 7_000; millis++) {
            long now = millis * MILLI;
            while (!running.isEmpty() && running.element().endNanos <= now) {
                CallDescription ended = running.remove().call;
                controller.onEnded(ended.id(), 0, SERVICE_MILLIS * MILLI, false, now);
            }
            boolean flooding = millis >= 1_000;
            for (int account = 0; account < ACCOUNTS; account++) {
                double rate = rates[account] * (flooding ? factor : 1);
                rate *= flooding && account == flooder ? 5 : 1;
                if (random.nextDouble() < rate / 1_000) {
                    CallDescription call =
                            call(withAccounts ? "a" + account : "", now + 300 * MILLI, account);
                    offered[account] += flooding ? 1 : 0;
                    if (controller.offer(call, now).kind() == AdmissionDecision.Kind.START) {
                        running.add(new Running(call, now + SERVICE_MILLIS * MILLI));
                        started[account] += flooding ? 1 : 0;
                    }
                }
            }
            for (Optional<CallDescription> next = controller.nextStartable(now);
                    next.isPresent();
                    next = controller.nextStartable(now)) {
                running.add(new Running(next.get(), now + SERVICE_MILLIS * MILLI));
                started[(int) next.get().fingerprint()] += flooding ? 1 : 0;
            }
            controller.removeExpired(now);
        }
        double[] shares = new double[ACCOUNTS];
        for (int account = 0; account < ACCOUNTS; account++) {
            shares[account] = (double) started[account] / offered[account];
        }
        return shares;
    }

    private static DefaultAdmissionController controller() {
        return DefaultAdmissionController.create(
                PolicyDefinition.withDefaults("default"),
                Map.of(),
                new TargetCapacity(SLOTS, 240, SLOTS, false, 1),
                0);
    }

    private CallDescription call(String account, long objectiveNanos) {
        return call(account, objectiveNanos, 0);
    }

    private CallDescription call(String account, long objectiveNanos, int number) {
        return new CallDescription(
                CallId.of(NodeId.of("ingress"), 1, counter++),
                0,
                "outings",
                "default",
                true,
                Optional.empty(),
                number,
                0,
                objectiveNanos + 2_000 * MILLI,
                objectiveNanos,
                true,
                account.isEmpty() ? Optional.empty() : Optional.of(account));
    }

    private record Running(CallDescription call, long endNanos) implements Comparable<Running> {

        @Override
        public int compareTo(Running other) {
            return Long.compare(endNanos, other.endNanos);
        }
    }
}
