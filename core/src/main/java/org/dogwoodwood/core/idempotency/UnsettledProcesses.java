package org.dogwoodwood.core.idempotency;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;

/**
 * Finds the processes that may have run calls with a key unknown to a node, so that a handover of
 * the node does not vouch for them.
 */
final class UnsettledProcesses {

    private final RegisteredMember self;
    private final MemberView current;
    private final List<FormerView> former;
    private final ReceivedHandovers handovers;
    private final BiPredicate<FormerView, RegisteredMember> windowPassed;

    private UnsettledProcesses(
            RegisteredMember self,
            MemberView current,
            List<FormerView> former,
            ReceivedHandovers handovers,
            BiPredicate<FormerView, RegisteredMember> windowPassed) {
        this.self = self;
        this.current = current;
        this.former = former;
        this.handovers = handovers;
        this.windowPassed = windowPassed;
    }

    /**
     * Returns the unsettled processes of a node.
     *
     * @param self the process of the node
     * @param current the current view
     * @param former the former views, newest first
     * @param handovers the handovers that the node has received
     * @param windowPassed whether the key window has passed for all calls that a member started
     *     under a former view
     */
    static Set<RegisteredMember> find(
            RegisteredMember self,
            MemberView current,
            List<FormerView> former,
            ReceivedHandovers handovers,
            BiPredicate<FormerView, RegisteredMember> windowPassed) {
        return new UnsettledProcesses(self, current, former, handovers, windowPassed).find();
    }

    private Set<RegisteredMember> find() {
        boolean lostOwner = hasLostOwner();
        Set<RegisteredMember> unknownToOthers = handovers.unsettled();
        Set<RegisteredMember> result = new HashSet<>();
        MemberView next = current;
        for (FormerView view : former) {
            MemberView replacement = next;
            view.view()
                    .members()
                    .filter(member -> !member.equals(self))
                    .filter(member -> !windowPassed.test(view, member))
                    .filter(
                            member ->
                                    lostOwner
                                            || unknownToOthers.contains(member)
                                            || (canLoseKeys(member, view.view(), replacement)
                                                    && !hasHandedOver(member, view, replacement)))
                    .forEach(result::add);
            next = replacementOfOlder(view, next);
        }
        return result;
    }

    // No member owns a key under a view without members, so that keys move on from the view before
    // it to the one after it.
    private static MemberView replacementOfOlder(FormerView view, MemberView next) {
        return view.view().incarnations().isEmpty() ? next : view.view();
    }

    /**
     * Returns whether a key can have moved from a member to this node when a view was replaced. No
     * key moves between two nodes that are in both views, as they keep their relative rank.
     */
    private boolean canLoseKeys(RegisteredMember member, MemberView view, MemberView next) {
        return next.contains(self) && !(view.contains(self) && next.contains(member));
    }

    /**
     * Returns whether a member of a former view has been lost without a handover, so that this node
     * may own keys whose calls it does not know of.
     */
    private boolean hasLostOwner() {
        MemberView replacement = current;
        for (FormerView view : former) {
            if (hasLostOwner(view, replacement)) {
                return true;
            }
            replacement = replacementOfOlder(view, replacement);
        }
        return false;
    }

    private boolean hasLostOwner(FormerView view, MemberView replacement) {
        return view.view()
                .members()
                .anyMatch(
                        member ->
                                !member.equals(self)
                                        && !current.contains(member)
                                        && !hasHandedOver(member, view, replacement));
    }

    /**
     * Returns whether a member of a former view has handed over all keys that this node owned after
     * the view was replaced. A handover under a later view leaves out the keys of members that had
     * joined until then.
     */
    private boolean hasHandedOver(RegisteredMember member, FormerView view, MemberView next) {
        return handovers.handoversSince(member, view.replacementOffset()).keySet().stream()
                .anyMatch(offset -> hasNoJoinersUntil(offset, next));
    }

    private boolean hasNoJoinersUntil(long offset, MemberView since) {
        if (offset > current.offset()) {
            return false;
        }
        return FormerView.viewAt(offset, current, former)
                .filter(
                        view ->
                                since.incarnations()
                                        .keySet()
                                        .containsAll(view.incarnations().keySet()))
                .isPresent();
    }
}
