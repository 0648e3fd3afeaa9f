package org.dogwoodwood.core.idempotency;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;

/** A member view that was replaced by a newer one, but that some owners may still act under. */
final class FormerView {

    private static final long NEVER = Long.MAX_VALUE;

    private final MemberView view;
    private final long replacementOffset;
    private final long replacedAtNanos;
    private long majorityPassedAtNanos = NEVER;

    FormerView(MemberView view, long replacementOffset, long replacedAtNanos) {
        this.view = view;
        this.replacementOffset = replacementOffset;
        this.replacedAtNanos = replacedAtNanos;
    }

    /**
     * Returns the view that was in force at an offset, or empty if it is no longer known.
     *
     * @param former the former views, newest first
     */
    static Optional<MemberView> viewAt(long offset, MemberView current, List<FormerView> former) {
        if (current.offset() <= offset) {
            return Optional.of(current);
        }
        return former.stream()
                .map(FormerView::view)
                .filter(view -> view.offset() <= offset)
                .findFirst();
    }

    MemberView view() {
        return view;
    }

    long replacementOffset() {
        return replacementOffset;
    }

    /**
     * Records the time when a majority of the members has read past this view. From then on no
     * other member can renew its ownership lease under this view.
     */
    void updateMajority(
            Map<RegisteredMember, Long> offsetsRead, Set<RegisteredMember> ended, long nowNanos) {
        if (majorityPassedAtNanos != NEVER) {
            return;
        }
        long passed =
                view.incarnations().entrySet().stream()
                        .map(entry -> new RegisteredMember(entry.getKey(), entry.getValue()))
                        .filter(
                                member ->
                                        ended.contains(member)
                                                || offsetsRead.getOrDefault(member, -1L)
                                                        >= replacementOffset)
                        .count();
        if (passed >= view.majority()) {
            majorityPassedAtNanos = nowNanos;
        }
    }

    /**
     * Returns whether the key window has passed for every call that an owner started under this
     * view.
     */
    boolean hasWindowPassed(
            RegisteredMember owner, Set<RegisteredMember> ended, long waitNanos, long nowNanos) {
        if (nowNanos - replacedAtNanos < waitNanos) {
            return false;
        }
        return !view.hasEnoughVoters()
                || ended.contains(owner)
                || hasWindowPassedForMajority(waitNanos, nowNanos);
    }

    private boolean hasWindowPassedForMajority(long waitNanos, long nowNanos) {
        return majorityPassedAtNanos != NEVER && nowNanos - majorityPassedAtNanos >= waitNanos;
    }
}
