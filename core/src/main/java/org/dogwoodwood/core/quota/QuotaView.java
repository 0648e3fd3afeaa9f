package org.dogwoodwood.core.quota;

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
 * @param dataCentres the known data centres and their members
 */
public record QuotaView(
        NodeId self,
        String dataCentre,
        Map<String, QuotaLimit> limits,
        Map<String, Members> dataCentres) {

    /**
     * The members of a data centre.
     *
     * @param eligible the members that can be reached and may be coordinators
     * @param reachable the number of members that can be reached
     * @param known the number of all members, also of those that can't be reached and haven't left
     */
    public record Members(Set<NodeId> eligible, int reachable, int known) {

        /** Copies the set. */
        public Members {
            eligible = Set.copyOf(eligible);
        }

        /** Returns the share of the known members that can be reached. */
        double part() {
            return known == 0 ? 0 : Math.min(1.0, (double) reachable / known);
        }
    }

    /** Copies the maps. */
    public QuotaView {
        limits = Map.copyOf(limits);
        dataCentres = new TreeMap<>(dataCentres);
    }

    /** Returns a view without limits and members. */
    public static QuotaView empty(NodeId self, String dataCentre) {
        return new QuotaView(self, dataCentre, Map.of(), Map.of());
    }

    /**
     * Returns the limit of an account, or empty if its calls are not limited. Without any member
     * there is no target either, so that calls end without having run.
     */
    public Optional<QuotaLimit> limitOf(String account) {
        return Optional.ofNullable(limits.get(account))
                .filter(limit -> limit.isLimited() && !dataCentres.isEmpty());
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
        Set<NodeId> candidates = new HashSet<>(dataCentres.get(homeOf(id)).eligible());
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
    public List<Integer> slotOrder(String account) {
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
        if (!dataCentres.containsKey(dataCentre)) {
            return own;
        }
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
        return dataCentres.containsKey(dataCentre) ? dataCentres.get(dataCentre).part() : 0;
    }

    private boolean isAtHome(SlotId id) {
        return homeOf(id).equals(dataCentre);
    }

    private String homeOf(SlotId id) {
        List<String> names = List.copyOf(dataCentres.keySet());
        return names.get(Math.floorMod(id.account().hashCode() + id.slot(), names.size()));
    }
}
