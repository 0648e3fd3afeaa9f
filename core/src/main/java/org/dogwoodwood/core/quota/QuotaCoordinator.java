package org.dogwoodwood.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The coordinator of one slot of an account's limit: grants tokens to ingresses and borrows from
 * the other slots when it has none. Confined to one thread.
 */
public final class QuotaCoordinator {

    /** How long an ingress may keep tokens that it does not need at once, in nanoseconds (2 s). */
    public static final long KEPT_LIFETIME_NANOS = 2_000_000_000L;

    private static final long LENDER_PAUSE_NANOS = 100_000_000L;

    // A slot with waiting calls uses its tokens itself.
    private static final long BUSY_LENDER_PAUSE_NANOS = 500_000_000L;
    private static final long DEMAND_NANOS = 100_000_000L;

    /** Sends loan requests to the coordinators of other slots. */
    @FunctionalInterface
    public interface Lenders {

        /**
         * Requests a loan; the answer is passed to {@link #onLoan}, also after a failure.
         *
         * @param lender the slot of the lender
         * @param missing the number of calls that wait for a token
         * @param wished the number of tokens that would be useful on top
         */
        void request(int lender, int missing, int wished);
    }

    private final int slot;
    private final Lenders lenders;
    private final SlotBucket bucket;
    private final Deque<Ask> asks = new ArrayDeque<>();
    private final Map<Integer, Long> pausedUntilNanos = new HashMap<>();
    private int slots;
    private int nextLender;
    private boolean loanPending;
    private int loanMissing;
    private long exhaustedNanos;
    private boolean everExhausted;

    private QuotaCoordinator(
            QuotaLimit limit, int slot, int slots, Lenders lenders, long nowNanos) {
        this.slot = slot;
        this.slots = slots;
        this.lenders = Objects.requireNonNull(lenders, "lenders");
        this.bucket = new SlotBucket(limit, slots, nowNanos);
        this.nextLender = slot + 1;
    }

    /**
     * Returns the coordinator of a slot that has not granted tokens.
     *
     * @param limit the limit of the account, not null
     * @param slot the number of the slot, from 0
     * @param slots the number of slots of the account
     * @param lenders sends loan requests, not null
     */
    public static QuotaCoordinator create(
            QuotaLimit limit, int slot, int slots, Lenders lenders, long nowNanos) {
        return new QuotaCoordinator(limit, slot, slots, lenders, nowNanos);
    }

    /**
     * Sets the limit and the share of the slot that this coordinator may grant.
     *
     * @param limit the limit of the account, not null
     * @param slotCount the number of slots of the account
     * @param part the share of the known members of the home data centre that are reachable
     */
    public void configure(QuotaLimit limit, int slotCount, double part, long nowNanos) {
        slots = slotCount;
        bucket.configure(limit, slotCount, part, nowNanos);
    }

    /** Drops all tokens, since another member may have granted them. */
    public void empty(long nowNanos) {
        bucket.update(nowNanos);
        bucket.clear();
    }

    /** Answers all asks, since another member has become the coordinator. */
    public void resign() {
        Deque<Ask> unanswered = new ArrayDeque<>(asks);
        asks.clear();
        bucket.clear();
        unanswered.forEach(ask -> ask.reply.accept(QuotaGrant.notCoordinator()));
    }

    /**
     * Handles an ask of an ingress.
     *
     * @param waiting the number of calls that wait for a token
     * @param wished the number of tokens that the ingress expects to need in the next 2 s
     * @param reply receives the grant, possibly before this method returns
     */
    public void ask(int waiting, int wished, long nowNanos, Consumer<QuotaGrant> reply) {
        bucket.update(nowNanos);
        asks.addLast(new Ask(waiting, wished, reply));
        serve(nowNanos);
    }

    /** Handles a loan request of the coordinator of another slot. */
    public QuotaGrant lend(int missing, int wished, long nowNanos) {
        bucket.update(nowNanos);
        if (!asks.isEmpty() || isInDemand(nowNanos)) {
            boolean inDemand = isInDemand(nowNanos);
            return QuotaGrant.exhausted(0, inDemand, bucket.millisToToken());
        }
        int lent = bucket.take(missing);
        if (lent < missing) {
            return QuotaGrant.exhausted(lent, false, bucket.millisToToken());
        }
        return QuotaGrant.of(lent + bucket.take(Math.min(wished, (int) (bucket.level() / 2))));
    }

    /**
     * Handles the answer to a loan request.
     *
     * @param lender the slot of the lender
     * @param grant the answer, or empty if the lender could not be reached
     */
    public void onLoan(int lender, Optional<QuotaGrant> grant, long nowNanos) {
        bucket.update(nowNanos);
        loanPending = false;
        QuotaGrant answer = grant.orElseGet(QuotaGrant::notCoordinator);
        bucket.add(answer.tokens(), loanMissing);
        if (answer.state() != QuotaGrant.State.GRANTED) {
            boolean busy = answer.state() != QuotaGrant.State.EXHAUSTED;
            long pause = busy ? BUSY_LENDER_PAUSE_NANOS : LENDER_PAUSE_NANOS;
            pausedUntilNanos.put(lender, nowNanos + pause);
            nextLender = lender + 1;
        }
        serve(nowNanos);
    }

    private void serve(long nowNanos) {
        while (!asks.isEmpty()) {
            Ask first = asks.getFirst();
            first.granted += bucket.take(first.waiting - first.granted);
            if (first.granted < first.waiting) {
                if (!loanPending) {
                    borrowOrRefuse(nowNanos);
                }
                return;
            }
            asks.removeFirst();
            int kept = bucket.takeKept(first.wished, KEPT_LIFETIME_NANOS, nowNanos);
            first.reply.accept(QuotaGrant.of(first.granted + kept));
        }
    }

    private void borrowOrRefuse(long nowNanos) {
        Optional<Integer> lender = nextLender(nowNanos);
        if (lender.isPresent()) {
            loanPending = true;
            loanMissing = asks.stream().mapToInt(ask -> ask.waiting - ask.granted).sum();
            lenders.request(lender.get(), loanMissing, (int) (bucket.depth() / 2));
            return;
        }
        everExhausted = true;
        exhaustedNanos = nowNanos;
        Deque<Ask> refused = new ArrayDeque<>(asks);
        asks.clear();
        int retryMillis = bucket.millisToToken();
        refused.forEach(
                ask -> ask.reply.accept(QuotaGrant.exhausted(ask.granted, true, retryMillis)));
    }

    private Optional<Integer> nextLender(long nowNanos) {
        for (int i = 0; i < slots; i++) {
            int candidate = Math.floorMod(nextLender + i, slots);
            Long pausedUntil = pausedUntilNanos.get(candidate);
            if (candidate != slot && (pausedUntil == null || pausedUntil - nowNanos <= 0)) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    private boolean isInDemand(long nowNanos) {
        return everExhausted && nowNanos - exhaustedNanos < DEMAND_NANOS;
    }

    private static final class Ask {

        private final int waiting;
        private final int wished;
        private final Consumer<QuotaGrant> reply;
        private int granted;

        Ask(int waiting, int wished, Consumer<QuotaGrant> reply) {
            this.waiting = waiting;
            this.wished = wished;
            this.reply = reply;
        }
    }
}
