package org.dogwoodwood.core.quota;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.RendezvousHash;

/**
 * What a node knows about limits and members: it determines the slots of each account, their home
 * data centres and their coordinators. Nodes with the same view determine the same ones.
 *
 * @param self this node
 * @param dataCentre the data centre of this node
 * @param limits the limits by account
 * @param dataCentres the known data centres and their members, with that of this node
 */
public record QuotaView(
        NodeId self,
        String dataCentre,
        Map<String, QuotaLimit> limits,
        Map<String, Members> dataCentres) {

    /**
     * The members of a data centre.
     *
     * @param reachable the members that can be reached
     * @param known all members, also those that can't be reached and haven't left
     */
    public record Members(Set<NodeId> reachable, Set<NodeId> known) {

        /** Copies the sets. */
        public Members {
            reachable = Set.copyOf(reachable);
            known = Set.copyOf(known);
        }

        /** Returns the share of the known members that can be reached. */
        double part() {
            return known.isEmpty() ? 0 : Math.min(1.0, (double) reachable.size() / known.size());
        }
    }

    /** Copies the maps. */
    public QuotaView {
        limits = Map.copyOf(limits);
        checkArgument(
                dataCentres.containsKey(dataCentre), "The view must contain the own data centre.");
        dataCentres = new TreeMap<>(dataCentres);
    }

    /** Returns the limit of an account, or empty if its calls are not limited. */
    public Optional<QuotaLimit> limitOf(String account) {
        return Optional.ofNullable(limits.get(account)).filter(QuotaLimit::isLimited);
    }

    /** Returns the number of slots of a limited account. */
    public int slots(String account) {
        return limits.get(account).slots(dataCentres.size());
    }

    /**
     * Returns the coordinator of a slot, or empty if its home data centre can't be reached. Slots
     * with the same home have different coordinators, as far as there are members.
     */
    public Optional<NodeId> coordinatorOf(SlotId id) {
        Set<NodeId> candidates = new HashSet<>(dataCentres.get(homeOf(id)).reachable());
        int step = dataCentres.size();
        Optional<NodeId> coordinator = Optional.empty();
        for (int slot = id.slot() % step; slot <= id.slot(); slot += step) {
            if (candidates.size() > 1) {
                coordinator.ifPresent(candidates::remove);
            }
            coordinator =
                    RendezvousHash.first(new SlotId(id.account(), slot).hashKey(), candidates);
        }
        return coordinator;
    }

    /** Returns the order in which this node asks the slots: those of its data centre first. */
    List<Integer> slotOrder(String account) {
        int slots = slots(account);
        int start = Math.floorMod(self.hashCode(), slots);
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < slots; i++) {
            order.add((start + i) % slots);
        }
        order.sort(
                (one, other) ->
                        Boolean.compare(
                                isAtHome(new SlotId(account, other)),
                                isAtHome(new SlotId(account, one))));
        return order;
    }

    /** Returns the slots that this node coordinates. */
    Map<SlotId, QuotaLimit> ownSlots() {
        Map<SlotId, QuotaLimit> own = new HashMap<>();
        for (QuotaLimit limit : limits.values()) {
            int slots = limit.isLimited() ? slots(limit.account()) : 0;
            for (int slot = 0; slot < slots; slot++) {
                SlotId id = new SlotId(limit.account(), slot);
                if (isAtHome(id) && coordinatorOf(id).filter(self::equals).isPresent()) {
                    own.put(id, limit);
                }
            }
        }
        return own;
    }

    /** Returns the share of the slots at home in this data centre that its members may grant. */
    double ownPart() {
        return dataCentres.get(dataCentre).part();
    }

    private boolean isAtHome(SlotId id) {
        return homeOf(id).equals(dataCentre);
    }

    private String homeOf(SlotId id) {
        List<String> names = List.copyOf(dataCentres.keySet());
        return names.get(Math.floorMod(id.account().hashCode() + id.slot(), names.size()));
    }
}
