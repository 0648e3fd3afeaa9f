package org.dogwoodwood.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The decisions of one ingress about the calls of one account. Calls without a token wait until a
 * coordinator answers. Confined to one thread.
 */
public final class IngressQuota {

    // Calls are refused without a message for this long after the limit was reached.
    private static final long REFUSAL_NANOS = 50_000_000L;

    // An unreachable coordinator is asked again after this time.
    private static final long FAILURE_MEMORY_NANOS = 1_000_000_000L;

    // The account is no longer limited when no call was refused for this time.
    private static final long LIMITED_NANOS = 5_000_000_000L;
    private static final int MAX_WISHED = 8;
    private static final int MAX_WAITING = 4_096;

    /**
     * An ask that must be sent to a coordinator.
     *
     * @param slot the position of the slot in the order in which this node asks
     * @param waiting the number of calls that wait for a token
     * @param wished the number of tokens that will probably be needed in the next 2 s
     * @param sentNanos the time of the ask
     */
    public record Ask(int slot, int waiting, int wished, long sentNanos) {}

    private final Deque<Consumer<QuotaDecision>> waiting = new ArrayDeque<>();
    private int tokens;
    private long tokenExpiryNanos;
    private boolean askPending;
    private int preferredSlot;
    private int failedSlots;
    private long failureNanos;
    private long refusedUntilNanos;
    private long lastRefusalNanos;
    private int retryMillis;
    private boolean limited;
    private long windowNanos;
    private int admitted;
    private int admittedBefore;

    private IngressQuota(long nowNanos) {
        windowNanos = nowNanos;
        refusedUntilNanos = nowNanos;
    }

    /** Returns an object that has decided on no call. */
    public static IngressQuota create(long nowNanos) {
        return new IngressQuota(nowNanos);
    }

    /**
     * Decides on a call.
     *
     * @param listener receives the decision once, possibly before this method returns
     */
    public void decide(long nowNanos, Consumer<QuotaDecision> listener) {
        Objects.requireNonNull(listener, "listener");
        moveWindow(nowNanos);
        boolean hasToken = tokens > 0 && tokenExpiryNanos - nowNanos > 0;
        if (hasToken) {
            tokens--;
            admit(listener);
        } else if (refusedUntilNanos - nowNanos > 0 || waiting.size() >= MAX_WAITING) {
            refuse(listener, nowNanos);
        } else {
            waiting.addLast(listener);
        }
    }

    /** Returns the ask to send, or empty if no call waits or an ask is pending. */
    public Optional<Ask> nextAsk(long nowNanos) {
        if (askPending || waiting.isEmpty()) {
            return Optional.empty();
        }
        askPending = true;
        if (preferredSlot > 0 && nowNanos - failureNanos > FAILURE_MEMORY_NANOS) {
            preferredSlot = 0;
        }
        int recent = Math.min(MAX_WISHED, admitted + admittedBefore);
        return Optional.of(new Ask(preferredSlot, waiting.size(), recent, nowNanos));
    }

    /**
     * Handles the answer to an ask.
     *
     * @param ask the ask
     * @param grant the answer, or empty if the coordinator could not be reached
     * @param slots the number of slots of the account
     */
    public void onAnswer(Ask ask, Optional<QuotaGrant> grant, int slots, long nowNanos) {
        askPending = false;
        boolean failed = grant.isEmpty() || grant.get().state() == QuotaGrant.State.NOT_COORDINATOR;
        if (failed) {
            onFailure(slots, nowNanos);
            return;
        }
        failedSlots = 0;
        moveWindow(nowNanos);
        int left = grant.get().tokens();
        while (left > 0 && !waiting.isEmpty()) {
            left--;
            admit(waiting.removeFirst());
        }
        // The expiry counts from the ask, so that it is not later than at the coordinator.
        tokens = left;
        tokenExpiryNanos = ask.sentNanos() + QuotaCoordinator.KEPT_LIFETIME_NANOS;
        if (grant.get().state() != QuotaGrant.State.GRANTED) {
            refuseWaiting(grant.get().retryMillis(), nowNanos);
        }
    }

    /** Returns whether a call was refused recently. */
    public boolean isLimited(long nowNanos) {
        limited = limited && nowNanos - lastRefusalNanos < LIMITED_NANOS;
        return limited;
    }

    private void onFailure(int slots, long nowNanos) {
        failureNanos = nowNanos;
        preferredSlot = (preferredSlot + 1) % slots;
        failedSlots++;
        if (failedSlots >= slots) {
            failedSlots = 0;
            refuseWaiting((int) (FAILURE_MEMORY_NANOS / 1_000_000), nowNanos);
        }
    }

    private void refuseWaiting(int newRetryMillis, long nowNanos) {
        retryMillis = newRetryMillis;
        refusedUntilNanos = nowNanos + REFUSAL_NANOS;
        Deque<Consumer<QuotaDecision>> refused = new ArrayDeque<>(waiting);
        waiting.clear();
        refused.forEach(listener -> refuse(listener, nowNanos));
    }

    private void admit(Consumer<QuotaDecision> listener) {
        admitted++;
        listener.accept(QuotaDecision.admit());
    }

    private void refuse(Consumer<QuotaDecision> listener, long nowNanos) {
        limited = true;
        lastRefusalNanos = nowNanos;
        listener.accept(QuotaDecision.refuse(Math.max(1, retryMillis)));
    }

    // Two half windows, so that the count covers between one and two seconds.
    private void moveWindow(long nowNanos) {
        long halfNanos = QuotaCoordinator.KEPT_LIFETIME_NANOS / 2;
        long elapsedNanos = nowNanos - windowNanos;
        if (elapsedNanos >= halfNanos) {
            admittedBefore = elapsedNanos >= 2 * halfNanos ? 0 : admitted;
            admitted = 0;
            windowNanos = nowNanos;
        }
    }
}
