package org.dogwoodwood.core.admission;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.dogwoodwood.core.model.CallDescription;

/**
 * The queued calls of one class. Its accounts are served by start-time fair queueing with their
 * weights, so that an account that sends many times its share waits for its own calls.
 */
final class ClassQueue {

    /**
     * Turns that an account may miss while it has only calls that are late. Without a bound, an
     * account whose calls always arrive late would never be served; with it, it gets more than a
     * quarter of its share.
     */
    private static final int MAX_MISSED_TURNS = 2;

    private static final int MAX_IDLE_ACCOUNTS = 64;

    private final Map<String, AccountQueue> accounts = new LinkedHashMap<>();
    private double virtualTime;
    private int weight;
    private double startTag;

    ClassQueue(int weight) {
        this.weight = weight;
    }

    void setWeight(int newWeight) {
        weight = newWeight;
    }

    int weight() {
        return weight;
    }

    double startTag() {
        return startTag;
    }

    /** Raises the start tag: a class must not accumulate credit while it is idle. */
    void raiseStartTag(double otherVirtualTime) {
        startTag = Math.max(startTag, otherVirtualTime);
    }

    void setAccountWeights(AccountWeights weights) {
        accounts.forEach((name, queue) -> queue.setWeight(weights.of(name)));
    }

    void add(QueuedCall call, AccountWeights weights) {
        String name = AccountWeights.nameOf(call.call().account());
        AccountQueue queue = accounts.computeIfAbsent(name, ignored -> new AccountQueue());
        queue.setWeight(weights.of(name));
        if (queue.isEmpty()) {
            queue.raiseStartTag(tagAfterIdling(queue.weight()));
        }
        queue.add(call);
    }

    boolean isEmpty() {
        return accounts.values().stream().allMatch(AccountQueue::isEmpty);
    }

    boolean hasInTime() {
        return accounts.values().stream().anyMatch(AccountQueue::hasInTime);
    }

    boolean hasLate() {
        return accounts.values().stream().anyMatch(AccountQueue::hasLate);
    }

    int inTimeSize() {
        return accounts.values().stream().mapToInt(AccountQueue::inTimeSize).sum();
    }

    /**
     * Returns the expected number of calls of this class that start before a new call of an
     * account: its own, and those of other accounts whose start tags are not above its own.
     */
    double queuedAhead(String account, AccountWeights weights) {
        AccountQueue own = accounts.get(account);
        int ownSize = own == null ? 0 : own.inTimeSize();
        double weight = weights.of(account);
        double tag = own == null ? 0 : own.startTag();
        if (own == null || own.isEmpty()) {
            tag = Math.max(tag, tagAfterIdling(weight));
        }
        tag += ownSize / weight;
        double ahead = ownSize;
        for (Map.Entry<String, AccountQueue> entry : accounts.entrySet()) {
            if (!entry.getKey().equals(account)) {
                ahead += entry.getValue().startsUpTo(tag);
            }
        }
        return ahead;
    }

    /** Moves calls whose objective is before the given time to the late calls. */
    void moveLate(long nanos) {
        accounts.values().forEach(queue -> queue.moveLate(nanos));
    }

    /**
     * Removes the next call and charges the class for it: the call of the account whose turn it is
     * among those with calls that are in time, unless an account with late calls has missed too
     * many turns.
     */
    CallDescription start() {
        Optional<AccountQueue> inTime = first(AccountQueue::hasInTime);
        Optional<AccountQueue> late = first(queue -> !queue.hasInTime() && queue.hasLate());
        AccountQueue next = inTime.or(() -> late).orElseThrow();
        if (late.isPresent() && hasMissedTurns(late.get(), next)) {
            // The missed turns are not made up for, as its late calls have little value.
            late.get().raiseStartTag(next.startTag());
            next = late.get();
        }
        virtualTime = Math.max(virtualTime, next.startTag());
        startTag += 1.0 / weight;
        CallDescription call = next.start();
        forgetIdleAccounts();
        return call;
    }

    void removeDueBefore(long nanos, List<CallDescription> removed) {
        accounts.values().forEach(queue -> queue.removeDueBefore(nanos, removed));
    }

    boolean removeIf(Predicate<QueuedCall> condition) {
        boolean removed = false;
        for (AccountQueue queue : accounts.values()) {
            removed |= queue.removeIf(condition);
        }
        return removed;
    }

    // An account keeps the credit of one turn while it is idle, since the calls of a small account
    // come in pairs at times, and the second one would otherwise wait for a whole turn.
    private double tagAfterIdling(double accountWeight) {
        return virtualTime - 1 / accountWeight;
    }

    private static boolean hasMissedTurns(AccountQueue late, AccountQueue next) {
        return next.startTag() - late.startTag() > MAX_MISSED_TURNS / late.weight();
    }

    private Optional<AccountQueue> first(Predicate<AccountQueue> eligible) {
        AccountQueue first = null;
        for (AccountQueue queue : accounts.values()) {
            if (eligible.test(queue) && (first == null || queue.startTag() < first.startTag())) {
                first = queue;
            }
        }
        return Optional.ofNullable(first);
    }

    // An idle account that still has a debt is kept, or it would lose the debt.
    private void forgetIdleAccounts() {
        if (accounts.size() > MAX_IDLE_ACCOUNTS) {
            accounts.values().removeIf(queue -> queue.isEmpty() && queue.startTag() <= virtualTime);
        }
    }
}
