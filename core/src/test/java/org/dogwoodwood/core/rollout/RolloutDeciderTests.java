package org.dogwoodwood.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import org.dogwoodwood.core.rollout.RolloutReplay.Result;
import org.dogwoodwood.core.rollout.RolloutReplay.Version;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RolloutDeciderTests {

    private static final int DURATION = 60;
    private static final double STEADY = 300;

    // 1 % failures; the median is 42 ms, and one of 50 answers is slow.
    private static final Version GOOD =
            (seconds, route, rate, draw) ->
                    new Result(draw < 0.01, draw > 0.98 ? 0.3 : 0.03 + 0.025 * draw, true);
    private static final Version FAILING = failing(0.3);

    private static Version failing(double share) {
        return (seconds, route, rate, draw) ->
                draw < share
                        ? new Result(true, 0.04, true)
                        : GOOD.answer(seconds, route, rate, draw);
    }

    private static RolloutReplay replay(long seed, double load, Version next) {
        return new RolloutReplay(seed, DURATION, seconds -> load, GOOD, next);
    }

    private static void assertRolledBackInTime(RolloutReplay replay) {
        replay.run(DURATION);
        assertThat(replay.stored().state()).isEqualTo(RolloutState.ROLLED_BACK);
        // The calls after the roll-back belong to the bound, too; it holds without them.
        assertThat(replay.exposed).isLessThanOrEqualTo((long) (0.1 * replay.calls) + 50);
        assertThat(replay.sentAfterLimit).isZero();
    }

    /** Guards against a burst, which makes both versions fail, being blamed on the new one. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void goodVersionSucceedsUnderBurst(long seed) {
        Version overloaded =
                (seconds, route, rate, draw) ->
                        seconds > 20 && seconds < 26
                                ? new Result(draw < 0.2, draw > 0.6 ? 0.5 : 0.08, true)
                                : GOOD.answer(seconds, route, rate, draw);
        RolloutReplay replay =
                new RolloutReplay(
                        seed,
                        DURATION,
                        seconds -> seconds > 20 && seconds < 26 ? 690 : 300,
                        overloaded,
                        overloaded);

        replay.run(DURATION);

        assertThat(replay.stored().state()).isEqualTo(RolloutState.SUCCEEDED);
        assertThat(replay.exposed).isLessThanOrEqualTo((long) (0.1 * replay.calls) + 50);
    }

    /** Guards against a rarely called service that lacks the evidence for a success. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void goodVersionOfQuietServiceSucceeds(long seed) {
        RolloutReplay replay = replay(seed, 5, GOOD).run(DURATION);

        assertThat(replay.stored().state()).isEqualTo(RolloutState.SUCCEEDED);
        assertThat(replay.exposed).isLessThanOrEqualTo((long) (0.1 * replay.calls) + 50);
    }

    /** Guards against a record for each change of the share, which would load the store. */
    @Test
    void recordsAreFew() {
        RolloutReplay replay = replay(1, STEADY, GOOD).run(DURATION);

        assertThat(replay.recordCount()).isLessThanOrEqualTo(DURATION / 2);
    }

    /** Guards against more than 50 bad answers of a version that fails from its first call. */
    @ParameterizedTest
    @ValueSource(doubles = {0.15, 0.3, 1})
    void versionThatFailsImmediatelyIsRolledBack(double share) {
        assertRolledBackInTime(replay(1, STEADY, failing(share)));
    }

    /** Guards against comparing averages, which a part of slow answers hardly moves. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void versionThatIsSlowInPartIsRolledBack(long seed) {
        Version slow =
                (seconds, route, rate, draw) ->
                        draw < 0.3
                                ? new Result(false, 0.25, true)
                                : GOOD.answer(seconds, route, rate, draw);

        assertRolledBackInTime(replay(seed, STEADY, slow));
    }

    /** Guards against a good history that hides a later change. */
    @ParameterizedTest
    @ValueSource(ints = {10, 30, 50})
    void versionThatFailsLateIsRolledBack(int start) {
        Version late =
                (seconds, route, rate, draw) ->
                        (seconds < start ? GOOD : FAILING).answer(seconds, route, rate, draw);

        assertRolledBackInTime(replay(1, STEADY, late));
    }

    /** Guards against a constant small share, which never shows how a version bears load. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void versionThatFailsUnderLoadIsRolledBack(long seed) {
        Version underLoad =
                (seconds, route, rate, draw) ->
                        (rate < 40 ? GOOD : FAILING).answer(seconds, route, rate, draw);

        assertRolledBackInTime(replay(seed, STEADY, underLoad));
    }

    /** Guards against a fault of one route in nine that the other routes' answers hide. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void versionThatFailsOnOneRouteIsRolledBack(long seed) {
        Version oneRoute =
                (seconds, route, rate, draw) ->
                        (route.equals("c") ? FAILING : GOOD).answer(seconds, route, rate, draw);

        assertRolledBackInTime(replay(seed, STEADY, oneRoute));
    }

    /**
     * Guards against a cold new target, which is slow for some seconds, taken for a bad version.
     */
    @Test
    void coldTargetsAreNotBad() {
        Version cold =
                (seconds, route, rate, draw) ->
                        seconds < 15
                                ? new Result(false, 0.4, false)
                                : GOOD.answer(seconds, route, rate, draw);

        RolloutReplay replay = replay(1, STEADY, cold).run(DURATION);

        assertThat(replay.stored().state()).isEqualTo(RolloutState.SUCCEEDED);
    }

    /** Guards against a killed target, whose calls all end at once, taken for a bad version. */
    @Test
    void killedTargetIsNotBad() {
        Version killed =
                (seconds, route, rate, draw) ->
                        seconds > 20 && seconds < 21
                                ? new Result(false, 0, true)
                                : GOOD.answer(seconds, route, rate, draw);

        RolloutReplay replay = replay(1, STEADY, killed).run(DURATION);

        assertThat(replay.stored().state()).isEqualTo(RolloutState.SUCCEEDED);
    }

    /** Guards against calls to a version whose order was withdrawn. */
    @Test
    void withdrawnOrderIsRolledBackAtOnce() {
        RolloutReplay replay = replay(1, STEADY, GOOD).run(20);

        replay.decider().withdraw();
        replay.run(21);

        assertThat(replay.stored().state()).isEqualTo(RolloutState.ROLLED_BACK);
        assertThat(replay.decider().decide(21 * RolloutReplay.SECOND).share()).isZero();
    }

    /** Guards against a repeated order that begins again while its roll-out runs. */
    @Test
    void repeatedOrderIsServedUnlessRolledBack() {
        RolloutReplay replay = replay(1, STEADY, GOOD).run(20);
        RolloutOrder order = replay.decider().order();
        RolloutOrder repeated =
                new RolloutOrder(
                        order.id() + 1,
                        order.service(),
                        order.targetVersion(),
                        order.durationNanos());

        assertThat(replay.decider().serves(repeated)).isTrue();
        replay.decider().withdraw();
        assertThat(replay.decider().serves(repeated)).isFalse();
        assertThat(replay.decider().serves(order)).isTrue();
    }

    /** Guards against exposure that begins anew with each decider. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void restartedDeciderKeepsBoundAndSucceeds(long seed) {
        RolloutReplay replay = replay(seed, STEADY, GOOD).run(12);
        for (int i = 0; i < 3; i++) {
            replay.restartDecider(3);
            replay.run(replay.seconds() + 7);
        }

        replay.run(DURATION);

        assertThat(replay.stored().state()).isEqualTo(RolloutState.SUCCEEDED);
        assertThat(replay.exposed).isLessThanOrEqualTo((long) (0.1 * replay.calls) + 50);
    }

    /** Guards against a bad version that goes unnoticed while deciders change. */
    @Test
    void restartedDeciderRollsBackBadVersion() {
        Version late =
                (seconds, route, rate, draw) ->
                        (seconds < 16 ? GOOD : FAILING).answer(seconds, route, rate, draw);
        RolloutReplay replay = replay(1, STEADY, late).run(15);

        replay.restartDecider(3);

        assertRolledBackInTime(replay);
    }

    /**
     * Guards against exposure beyond what a successor would know while the store is unavailable.
     */
    @Test
    void exposureStaysWithinReservationWithoutStore() {
        RolloutReplay replay = replay(1, STEADY, GOOD).run(10);
        replay.storeAvailable = false;

        replay.run(30);

        assertThat(replay.exposed).isLessThanOrEqualTo(replay.stored().reservedAttempts() + 10);
    }

    /** Guards against a share in force after the decider has been lost. */
    @Test
    void grantExpires() {
        RolloutGrant grant = new RolloutGrant(1, "v2", RolloutState.RUNNING, 0.5, 100);

        assertThat(grant.selectsNewVersion(99, 0.4)).isTrue();
        assertThat(grant.selectsNewVersion(100, 0.4)).isFalse();
    }
}
