package org.dogwoodwood.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class AnswerCheckerTests {

    private static final String SAFE = "safe-1";
    private static final String UNSAFE = "unsafe-1";

    private final AnswerLog log = new AnswerLog();
    private final Counts counts = new Counts();

    @Test
    void acceptsTheAnswerOfTheOnlyRun() {
        assertThat(check(answer(SAFE, SAFE, run(SAFE, "a", 200), 200))).isEmpty();
        assertThat(check(answer(SAFE, SAFE, run(SAFE, "b", 500), 500))).isEmpty();
    }

    @Test
    void reportsAnAnswerOfAnotherRequest() {
        assertThat(check(answer(SAFE, "safe-2", run("safe-2", "a", 200), 200)))
                .containsExactly(Rule.OWN_ID, Rule.SIGNED_SUCCESS);
    }

    @Test
    void reportsASuccessThatIsNotOfARun() {
        assertThat(check(answer(SAFE, SAFE, run(SAFE, "a", 500), 200)))
                .containsExactly(Rule.SIGNED_SUCCESS);
        assertThat(check(unsigned(SAFE, 200))).containsExactly(Rule.SIGNED_SUCCESS);
    }

    @Test
    void reportsASuccessBeforeAFailureAtTheSameTargetOnly() {
        String stamp = run(SAFE, "a", 200);
        run(SAFE, "b", 500);
        assertThat(check(answer(SAFE, SAFE, stamp, 200))).isEmpty();
        run(SAFE, "a", 500);
        assertThat(check(answer(SAFE, SAFE, stamp, 200))).containsExactly(Rule.LATEST_SUCCESS);
    }

    @Test
    void reportsAFailureWithTheStampOfASuccess() {
        assertThat(check(answer(SAFE, SAFE, run(SAFE, "a", 200), 500)))
                .containsExactly(Rule.FAILURE_OF_ITS_RUN);
    }

    @Test
    void reportsAPromiseThatIsBroken() {
        assertThat(check(unsigned(UNSAFE, 503))).isEmpty();
        run(UNSAFE, "a", 500);
        assertThat(check(unsigned(UNSAFE, 503))).containsExactly(Rule.PROMISE_KEPT);
    }

    @Test
    void reportsAnUnsafeRequestThatRanTwice() {
        run(UNSAFE, "a", 500);
        log.add(1, UNSAFE, "b", 1, 503, true, AnswerEnding.WHOLE);
        assertThat(check(unsigned(UNSAFE, 502))).isEmpty();
        run(UNSAFE, "c", 500);
        assertThat(check(unsigned(UNSAFE, 502))).containsExactly(Rule.AT_MOST_ONCE);
    }

    @Test
    void countsIdsThatReachedATargetTwice() {
        run(SAFE, "a", 500);
        run(SAFE, "a", 500);
        check(unsigned(SAFE, 502));
        assertThat(counts.of("ids that reached one target more than once")).isEqualTo(1);
    }

    private List<Rule> check(ReceivedAnswer answer) {
        return AnswerChecker.check(log, List.of(answer), counts).stream()
                .map(Violation::rule)
                .toList();
    }

    private String run(String id, String target, int status) {
        return log.add(1, id, target, 1, status, false, AnswerEnding.WHOLE).stamp();
    }

    private static ReceivedAnswer answer(String id, String answered, String stamp, int status) {
        return new ReceivedAnswer(
                id,
                ClientRequest.isUnsafe(id),
                "node",
                Optional.of(answered),
                status,
                Optional.of(stamp),
                true);
    }

    private static ReceivedAnswer unsigned(String id, int status) {
        return new ReceivedAnswer(
                id,
                ClientRequest.isUnsafe(id),
                "node",
                Optional.of(id),
                status,
                Optional.empty(),
                false);
    }
}
