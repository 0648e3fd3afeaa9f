package org.dogwoodwood.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Compares what clients received with what the targets did. */
final class AnswerChecker {

    private static final int BAD_GATEWAY = 502;

    private final AnswerLog log;
    private final Counts counts;
    private final List<Violation> violations = new ArrayList<>();

    private AnswerChecker(AnswerLog log, Counts counts) {
        this.log = log;
        this.counts = counts;
    }

    /**
     * Returns the broken rules, and adds figures to the counts. All runs must have ended, since a
     * late run may break a promise.
     */
    static List<Violation> check(AnswerLog log, List<ReceivedAnswer> answers, Counts counts) {
        AnswerChecker checker = new AnswerChecker(log, counts);
        answers.forEach(checker::check);
        checker.checkDeliveries();
        return List.copyOf(checker.violations);
    }

    private void check(ReceivedAnswer answer) {
        if (answer.answeredId().filter(id -> !id.equals(answer.id())).isPresent()) {
            violate(Rule.OWN_ID, answer);
        }
        Optional<Run> run =
                answer.stamp()
                        .flatMap(log::withStamp)
                        .filter(found -> found.id().equals(answer.id()));
        if (answer.isSuccess()) {
            checkSuccess(answer, run);
        } else if (answer.stamp().isPresent()
                && run.filter(found -> found.status() == answer.status()).isEmpty()) {
            violate(Rule.FAILURE_OF_ITS_RUN, answer);
        }
        checkPromise(answer);
        countLostSuccess(answer);
    }

    private void checkSuccess(ReceivedAnswer answer, Optional<Run> run) {
        boolean isAnswerOfRun = run.filter(found -> found.status() == answer.status()).isPresent();
        if (!isAnswerOfRun || !answer.bodyMatches()) {
            violate(Rule.SIGNED_SUCCESS, answer);
            return;
        }
        List<Run> failures =
                log.withId(answer.id()).stream().filter(other -> !other.succeeded()).toList();
        if (failures.stream().anyMatch(other -> other.follows(run.get()))) {
            violate(Rule.LATEST_SUCCESS, answer);
        } else if (!failures.isEmpty()) {
            counts.add("answers: success, and a failure before it or at another target");
        }
    }

    private void checkPromise(ReceivedAnswer answer) {
        boolean hasRun = log.withId(answer.id()).stream().anyMatch(run -> !run.rejected());
        if (!answer.isPromise() || !hasRun) {
            return;
        }
        if (answer.unsafe()) {
            violate(Rule.PROMISE_KEPT, answer);
        } else {
            counts.add("answers: safe request answered as not run, and has run");
        }
    }

    private void countLostSuccess(ReceivedAnswer answer) {
        boolean answeredWell =
                log.withId(answer.id()).stream()
                        .anyMatch(run -> run.succeeded() && run.ending() == AnswerEnding.WHOLE);
        if (!answer.unsafe() && answer.status() == BAD_GATEWAY && answeredWell) {
            counts.add("answers: safe 502, and a target had answered 200");
        }
    }

    private void checkDeliveries() {
        log.all()
                .forEach(
                        (id, runs) -> {
                            checkRuns(id, runs);
                            countRepeatedDelivery(runs);
                        });
    }

    private void checkRuns(String id, List<Run> runs) {
        boolean ranAgain = runs.stream().filter(run -> !run.rejected()).count() > 1;
        if (ClientRequest.isUnsafe(id) && ranAgain) {
            violations.add(new Violation(Rule.AT_MOST_ONCE, id + ", " + runs));
        }
    }

    private void countRepeatedDelivery(List<Run> runs) {
        long targets = runs.stream().map(Run::target).distinct().count();
        if (targets < runs.size()) {
            counts.add("ids that reached one target more than once");
        }
    }

    private void violate(Rule rule, ReceivedAnswer answer) {
        violations.add(new Violation(rule, answer + ", " + log.withId(answer.id())));
    }
}
