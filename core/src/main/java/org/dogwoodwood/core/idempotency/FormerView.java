package org.dogwoodwood.core.idempotency;

import java.util.Map;
import java.util.Set;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;

/** A member view that a newer one has replaced, and whose owners may not have noticed yet. */
final class FormerView {

    private static final long NEVER = Long.MAX_VALUE;

    private final MemberView view;
    private final long replacementOffset;
    private final long replacedAtNanos;
    private long majorityPassedAtNanos = NEVER;

    FormerView(MemberView view, long replacedByOffset, long replacedAtNanos) {
        this.view = view;
        this.replacementOffset = replacedByOffset;
        this.replacedAtNanos = replacedAtNanos;
    }

    MemberView view() {
        return view;
    }

    long replacementOffset() {
        return replacementOffset;
    }

    /**
     * Notes the time from which a majority of the members has read past this view, so that no other
     * member can renew its ownership lease under it.
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

    /** Returns whether every run that a member started under this view is past the window. */
    boolean hasWindowPassed(
            RegisteredMember owner, Set<RegisteredMember> ended, long wait, long nowNanos) {
        if (nowNanos - replacedAtNanos < wait) {
            return false;
        }
        return !view.hasEnoughVoters()
                || ended.contains(owner)
                || hasWindowPassedForMajority(wait, nowNanos);
    }

    private boolean hasWindowPassedForMajority(long wait, long nowNanos) {
        return majorityPassedAtNanos != NEVER && nowNanos - majorityPassedAtNanos >= wait;
    }
}
