package org.dogwoodwood.core.health;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/** The observations about one request, or about crashes in general, with their times. */
final class CrashEvents {

    /** Targets that crash within this time of each other have a common cause, in nanoseconds. */
    private static final long TOGETHER_NANOS = 1_500_000_000L;

    private final Map<CrashEvent, Long> times = new LinkedHashMap<>();

    /** Adds an event unless it is known. */
    void add(CrashEvent event, long atNanos) {
        // Transit time makes each received copy appear younger than it is, so the oldest time is
        // the most accurate.
        times.merge(event, atNanos, Math::min);
    }

    boolean isEmpty() {
        return times.isEmpty();
    }

    void forEach(BiConsumer<CrashEvent, Long> action) {
        times.forEach(action);
    }

    void removeExpired(long holdNanos, long nowNanos) {
        times.entrySet()
                .removeIf(
                        entry -> isExpired(entry.getKey(), entry.getValue(), holdNanos, nowNanos));
    }

    static boolean isExpired(CrashEvent event, long atNanos, long holdNanos, long nowNanos) {
        return nowNanos - atNanos >= event.kind().retentionNanos(holdNanos);
    }

    /** Returns whether an answer to the request is known. */
    boolean hasAnswer() {
        return times.keySet().stream().anyMatch(event -> event.kind() == CrashKind.CLEARED);
    }

    /**
     * Weighs the crashes since the last answer.
     *
     * @param targetCrashes the crashes of all targets, not null
     */
    Optional<CrashSuspicion> suspicion(CrashEvents targetCrashes, long holdNanos, long nowNanos) {
        long answeredNanos = lastAnswerNanos();
        List<Map.Entry<CrashEvent, Long>> crashes = new ArrayList<>();
        for (Map.Entry<CrashEvent, Long> entry : times.entrySet()) {
            boolean counts =
                    entry.getKey().kind().isCrash()
                            && entry.getValue() >= answeredNanos
                            && !isExpired(entry.getKey(), entry.getValue(), holdNanos, nowNanos);
            if (counts) {
                crashes.add(entry);
            }
        }
        if (crashes.isEmpty()) {
            return Optional.empty();
        }
        int weight = 0;
        long lastTrialNanos = Long.MIN_VALUE;
        for (Map.Entry<CrashEvent, Long> crash : crashes) {
            int trialWeight = trialWeight(crash.getKey(), crash.getValue(), targetCrashes);
            weight += trialWeight;
            if (trialWeight > 0) {
                lastTrialNanos = Math.max(lastTrialNanos, crash.getValue());
            }
        }
        return Optional.of(new CrashSuspicion(crashes.size(), weight, lastTrialNanos, hasAnswer()));
    }

    private long lastAnswerNanos() {
        long last = Long.MIN_VALUE;
        for (Map.Entry<CrashEvent, Long> entry : times.entrySet()) {
            if (entry.getKey().kind() == CrashKind.CLEARED) {
                last = Math.max(last, entry.getValue());
            }
        }
        return last;
    }

    /**
     * Returns what a crash on trial says. It is the proof of a request that crashes each target
     * that begins to run it, unless there is a reason to doubt: the target had run it for a while,
     * a target has answered it before, or a target that did not run it crashed at the same time.
     * One such reason leaves little of the proof, and two leave nothing.
     */
    private int trialWeight(CrashEvent crash, long atNanos, CrashEvents targetCrashes) {
        if (!crash.kind().isTrial()) {
            return 0;
        }
        int doubts = crash.kind() == CrashKind.TRIAL_CRASHED_LATE ? 1 : 0;
        doubts += hasAnswer() ? 1 : 0;
        doubts += targetCrashes.hasOtherCrash(crash, atNanos, this) ? 1 : 0;
        return switch (doubts) {
            case 0 -> CrashSuspicion.PROOF;
            case 1 -> 1;
            default -> 0;
        };
    }

    /** Returns whether another target, which did not run the request, crashed at the same time. */
    private boolean hasOtherCrash(CrashEvent crash, long atNanos, CrashEvents ofRequest) {
        return times.entrySet().stream()
                .filter(entry -> !entry.getKey().guard().equals(crash.guard()))
                .filter(entry -> Math.abs(entry.getValue() - atNanos) <= TOGETHER_NANOS)
                .anyMatch(entry -> !ofRequest.hasCrash(entry.getKey()));
    }

    /** Returns whether the request was in flight at the crash of a target. */
    private boolean hasCrash(CrashEvent targetCrash) {
        return times.keySet().stream()
                .anyMatch(event -> event.kind().isCrash() && event.isOfSameCrash(targetCrash));
    }
}
