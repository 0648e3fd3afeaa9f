package org.dogwoodwood.core.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

/** The coordinators of the slots that are assigned to this node. Confined to one thread. */
public final class QuotaCoordinators {

    // A process that was silent for longer may have been replaced as coordinator meanwhile.
    private static final long PAUSE_NANOS = 1_000_000_000L;

    /** Sends loan requests to the coordinators of other slots. */
    @FunctionalInterface
    public interface LoanSender {

        /**
         * Sends a loan request; the answer is passed to {@link QuotaCoordinators#onLoan}, also
         * after a failure.
         *
         * @param borrower the slot that needs tokens
         * @param lender the slot to borrow from
         * @param missing the number of calls that wait for a token
         * @param wished the number of tokens that would be useful on top
         */
        void send(SlotId borrower, SlotId lender, int missing, int wished);
    }

    private final LoanSender sender;
    private final Map<SlotId, QuotaCoordinator> coordinators = new HashMap<>();
    private long lastNanos;

    private QuotaCoordinators(LoanSender sender, long nowNanos) {
        this.sender = Objects.requireNonNull(sender, "sender");
        this.lastNanos = nowNanos;
    }

    /** Returns an object without slots. */
    public static QuotaCoordinators create(LoanSender sender, long nowNanos) {
        return new QuotaCoordinators(sender, nowNanos);
    }

    /** Takes over and gives up slots according to a view. */
    public void onView(QuotaView view, long nowNanos) {
        tick(nowNanos);
        Map<SlotId, QuotaLimit> own = view.ownSlots();
        for (SlotId id : new HashSet<>(coordinators.keySet())) {
            if (!own.containsKey(id)) {
                coordinators.remove(id).resign();
            }
        }
        own.forEach(
                (id, limit) -> {
                    int slots = view.slots(id.account());
                    coordinators
                            .computeIfAbsent(id, key -> newCoordinator(key, limit, slots, nowNanos))
                            .configure(limit, slots, view.ownPart(), nowNanos);
                });
    }

    /** Detects a pause of the process; must be called several times per second. */
    public void tick(long nowNanos) {
        if (nowNanos - lastNanos > PAUSE_NANOS) {
            coordinators.values().forEach(coordinator -> coordinator.empty(nowNanos));
        }
        lastNanos = nowNanos;
    }

    /**
     * Handles an ask of an ingress.
     *
     * @param id the slot
     * @param waiting the number of calls that wait for a token
     * @param wished the number of tokens that the ingress expects to need in the next 2 s
     * @param reply receives the grant, possibly before this method returns
     */
    public void ask(SlotId id, int waiting, int wished, long nowNanos, Consumer<QuotaGrant> reply) {
        tick(nowNanos);
        QuotaCoordinator coordinator = coordinators.get(id);
        if (coordinator == null) {
            reply.accept(QuotaGrant.notCoordinator());
        } else {
            coordinator.ask(waiting, wished, nowNanos, reply);
        }
    }

    /** Handles a loan request of the coordinator of another slot. */
    public QuotaGrant lend(SlotId id, int missing, int wished, long nowNanos) {
        tick(nowNanos);
        QuotaCoordinator coordinator = coordinators.get(id);
        return coordinator == null
                ? QuotaGrant.notCoordinator()
                : coordinator.lend(missing, wished, nowNanos);
    }

    /**
     * Handles the answer to a loan request.
     *
     * @param borrower the slot that needs tokens
     * @param lender the slot of the lender
     * @param grant the answer, or empty if the lender could not be reached
     */
    public void onLoan(SlotId borrower, SlotId lender, Optional<QuotaGrant> grant, long nowNanos) {
        tick(nowNanos);
        QuotaCoordinator coordinator = coordinators.get(borrower);
        if (coordinator != null) {
            coordinator.onLoan(lender.slot(), grant, nowNanos);
        }
    }

    private QuotaCoordinator newCoordinator(SlotId id, QuotaLimit limit, int slots, long nowNanos) {
        QuotaCoordinator.Lenders lenders =
                (lender, missing, wished) ->
                        sender.send(id, new SlotId(id.account(), lender), missing, wished);
        return QuotaCoordinator.create(limit, id.slot(), slots, lenders, nowNanos);
    }
}
