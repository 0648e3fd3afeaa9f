package org.dogwoodwood.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Knows when targets were last disturbed, and counts the crashes that requests have caused. */
final class ReturnWatch {

    /** From this number of crashes on, a request that causes them is to be stopped. */
    static final int CRASH_LIMIT = 3;

    /** How often such a request may be tried later, by the users' rules (BUDGET). */
    static final int MAX_LATE_RUNS = 3;

    /** How long after the crash at the limit runs do not count, {@code stableWindow}. */
    static final long SETTLED_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Map<String, List<Long>> crashes = new HashMap<>();
    private long disturbedNanos = System.nanoTime();

    /** Records that a target, or something that it depends on, has changed. */
    synchronized void onDisturbed() {
        disturbedNanos = System.nanoTime();
    }

    /** Records that a request has crashed a target. */
    synchronized void onCrashingRequest(String request) {
        crashes.computeIfAbsent(request, any -> new ArrayList<>()).add(System.nanoTime());
    }

    synchronized long disturbedNanos() {
        return disturbedNanos;
    }

    /** Returns a violation for each request that went on crashing targets. */
    synchronized List<Violation> crashersThatWentOn() {
        List<Violation> violations = new ArrayList<>();
        crashes.forEach(
                (request, times) -> {
                    long late = times.stream().filter(time -> isLate(times, time)).count();
                    if (late > MAX_LATE_RUNS) {
                        String text = "%s crashed targets %d times, %d of them late";
                        violations.add(
                                new Violation(
                                        Rule.CRASHER_STOPPED,
                                        text.formatted(request, times.size(), late)));
                    }
                });
        return violations;
    }

    private static boolean isLate(List<Long> times, long time) {
        return times.size() >= CRASH_LIMIT && time - times.get(CRASH_LIMIT - 1) > SETTLED_NANOS;
    }
}
