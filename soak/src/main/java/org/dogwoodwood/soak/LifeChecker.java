package org.dogwoodwood.soak;

import java.util.List;
import java.util.Set;

/** Checks that processes start, and that they end when they are told to and not otherwise. */
final class LifeChecker {

    static final int GRACE_MILLIS = 6_000;
    static final int START_MILLIS = 20_000;

    private static final int SIGTERM_STATUS = 143;
    private static final Set<Integer> STATUSES_AFTER_SIGTERM = Set.of(0, SIGTERM_STATUS);

    private final Evidence evidence;

    LifeChecker(Evidence evidence) {
        this.evidence = evidence;
    }

    /**
     * Checks the end of a process.
     *
     * @param logEnd the last lines of its log
     */
    void checkEnd(LifeHistory history, int status, List<String> logEnd, long nowNanos) {
        evidence.counts().add("process: ended with " + status + cause(history));
        boolean stopped = history.isTerminated() && STATUSES_AFTER_SIGTERM.contains(status);
        boolean told = history.isKilled() || stopped;
        if (!told) {
            report(Rule.OWN_END, history, "exit status " + status, logEnd, nowNanos);
        }
    }

    /** Checks a process at the end of its grace time, before SIGKILL. */
    void checkGrace(LifeHistory history, List<String> logEnd, long nowNanos) {
        long millis = history.stoppingMillis(nowNanos);
        if (millis >= GRACE_MILLIS) {
            String what = "alive " + millis + " ms after SIGTERM";
            report(Rule.STUCK, history, what, logEnd, nowNanos);
        }
    }

    /**
     * Checks a process that is alive.
     *
     * @param storeUpNanos since when the store has been up, in {@link System#nanoTime()}
     */
    void checkStart(LifeHistory history, long storeUpNanos, List<String> logEnd, long nowNanos) {
        long millis = history.unreadyMillis(storeUpNanos, nowNanos);
        if (millis >= START_MILLIS && history.markUnready()) {
            String what = "not ready for " + millis + " ms";
            report(Rule.NOT_STARTED, history, what, logEnd, nowNanos);
        }
    }

    private static String cause(LifeHistory history) {
        if (history.isKilled()) {
            return " after SIGKILL";
        }
        return history.isTerminated() ? " after SIGTERM" : " by itself";
    }

    private void report(
            Rule rule, LifeHistory history, String what, List<String> logEnd, long nowNanos) {
        String text =
                "%s, %s, %d ms after its start, events %s, log %s"
                        .formatted(
                                history.name(),
                                what,
                                history.millisAt(nowNanos),
                                history.events(),
                                logEnd);
        evidence.add(new Violation(rule, text));
    }
}
