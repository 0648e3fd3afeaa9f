package org.dogwoodwood.core.idempotency;

import java.util.Optional;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.core.model.TargetAnswer;

/** The state of one key in a registry. */
final class KeyRecord {

    private final String key;
    private final long fingerprint;
    private final Optional<CallId> call;
    private final int attempt;
    private KeyState state;
    private Optional<TargetAnswer> answer;
    private long answerBytes;
    private long expiryNanos;
    private boolean handedOver;

    private KeyRecord(
            String key,
            long fingerprint,
            Optional<CallId> call,
            int attempt,
            KeyState state,
            Optional<TargetAnswer> answer) {
        this.key = key;
        this.fingerprint = fingerprint;
        this.call = call;
        this.attempt = attempt;
        setState(state, answer);
    }

    static KeyRecord ofCall(String key, CallDescription call) {
        return new KeyRecord(
                key,
                call.fingerprint(),
                Optional.of(call.id()),
                call.attempt(),
                KeyState.RUNNING,
                Optional.empty());
    }

    static KeyRecord ofEntry(KeyEntry entry) {
        return new KeyRecord(
                entry.key(),
                entry.fingerprint(),
                Optional.empty(),
                0,
                entry.state(),
                entry.answer());
    }

    static long bytesOf(TargetAnswer answer) {
        long bytes = answer.body().length;
        for (HeaderField header : answer.headers()) {
            bytes += header.name().length() + header.value().length();
        }
        return Math.max(1, bytes);
    }

    String key() {
        return key;
    }

    long answerBytes() {
        return answerBytes;
    }

    boolean isHandedOver() {
        return handedOver;
    }

    boolean isRunningAttempt(CallDescription description) {
        return state == KeyState.RUNNING
                && attempt == description.attempt()
                && call.filter(description.id()::equals).isPresent();
    }

    KeyDecision decide(long otherFingerprint) {
        if (otherFingerprint != fingerprint) {
            return KeyDecision.refuse(ErrorCode.KEY_REUSED);
        }
        if (state == KeyState.RUNNING) {
            return KeyDecision.refuse(ErrorCode.KEY_IN_PROGRESS);
        }
        return answer.map(KeyDecision::replay)
                .orElseGet(() -> KeyDecision.refuse(ErrorCode.KEY_IN_DOUBT));
    }

    /** Returns whether an entry from another owner has newer information than this record. */
    boolean isSupersededBy(KeyEntry entry) {
        if (call.isPresent() && state == KeyState.RUNNING) {
            return false;
        }
        return switch (entry.state()) {
            case RELEASED -> state == KeyState.RUNNING;
            case ANSWERED -> state != KeyState.ANSWERED || answer.isEmpty();
            case RUNNING, IN_DOUBT -> state != KeyState.ANSWERED;
        };
    }

    void setState(KeyState newState, Optional<TargetAnswer> newAnswer) {
        state = newState;
        answer = newAnswer;
        answerBytes = newAnswer.map(KeyRecord::bytesOf).orElse(0L);
    }

    void dropAnswer() {
        answer = Optional.empty();
        answerBytes = 0;
    }

    void setExpiry(long nanos) {
        expiryNanos = nanos;
    }

    void markHandedOver() {
        handedOver = true;
    }

    KeyEntry toEntry(long windowNanos, long nowNanos) {
        boolean runsHere = state == KeyState.RUNNING && call.isPresent();
        long remaining = runsHere ? windowNanos : expiryNanos - nowNanos;
        return new KeyEntry(key, fingerprint, state, answer, remaining);
    }
}
