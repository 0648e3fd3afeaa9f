package org.dogwoodwood.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The order in force for each data centre. Not thread-safe.
 *
 * <p>A merge keeps the order with the highest counter, on a tie OUT, then the higher order id. It
 * is commutative, associative and idempotent, so nodes converge whatever the order of delivery.
 *
 * <p>A snapshot of an operators' source is a statement about every data centre. Orders of that
 * source that the snapshot no longer holds are replaced by IN, also when a peer sends one later.
 */
public final class DataCentreOrders {

    private final Map<String, DataCentreOrder> orders = new TreeMap<>();
    private Optional<OrderSnapshot> snapshot = Optional.empty();

    private DataCentreOrders() {}

    /** Creates an instance in which every data centre is in. */
    public static DataCentreOrders create() {
        return new DataCentreOrders();
    }

    /**
     * Issues a new order, or returns the one in force if it has the same order id.
     *
     * @param dataCentre the data centre, not null
     * @param state the state to order, not null
     * @param orderId the id of the order, by which a repeated request is recognised, not null
     */
    public DataCentreOrder issue(String dataCentre, DataCentreOrder.State state, String orderId) {
        DataCentreOrder present = orders.get(dataCentre);
        if (present != null && present.orderId().equals(orderId)) {
            return present;
        }
        long counter = present == null ? 1 : present.counter() + 1;
        DataCentreOrder order = new DataCentreOrder(dataCentre, counter, state, orderId);
        orders.put(dataCentre, order);
        return order;
    }

    /**
     * Merges an order from a peer or the log.
     *
     * @return whether the order in force for its data centre changed
     */
    public boolean merge(DataCentreOrder order) {
        DataCentreOrder effective = effectiveOrder(order);
        DataCentreOrder present = orders.get(order.dataCentre());
        if (present != null && !effective.supersedes(present)) {
            return false;
        }
        orders.put(order.dataCentre(), effective);
        return true;
    }

    /**
     * Merges all orders of an operators' source, and withdraws those that it no longer holds.
     *
     * @param newSnapshot the orders; ignored if a later snapshot has been merged
     * @return the data centres whose order in force changed
     */
    public List<String> merge(OrderSnapshot newSnapshot) {
        if (snapshot.isPresent() && snapshot.get().counter() > newSnapshot.counter()) {
            return List.of();
        }
        snapshot = Optional.of(newSnapshot);
        List<String> changed = new ArrayList<>();
        List<DataCentreOrder> received = new ArrayList<>(newSnapshot.orders());
        received.addAll(orders.values());
        for (DataCentreOrder order : received) {
            if (merge(order)) {
                changed.add(order.dataCentre());
            }
        }
        return changed;
    }

    /** Returns the order in force for a data centre; empty if there has been none. */
    public Optional<DataCentreOrder> find(String dataCentre) {
        return Optional.ofNullable(orders.get(dataCentre));
    }

    /** Returns whether operators have taken the data centre out. */
    public boolean isOut(String dataCentre) {
        DataCentreOrder order = orders.get(dataCentre);
        return order != null && order.state() == DataCentreOrder.State.OUT;
    }

    /** Returns the orders in force, sorted by name of the data centre. */
    public List<DataCentreOrder> all() {
        return List.copyOf(orders.values());
    }

    /** Returns a hash of the orders in force, which is equal on nodes with the same orders. */
    public long hash() {
        long hash = 0;
        for (DataCentreOrder order : orders.values()) {
            hash = StableHash.combine(hash, StableHash.of(order.dataCentre()));
            hash = StableHash.combine(hash, order.counter());
            hash = StableHash.combine(hash, StableHash.of(order.state().name()));
            hash = StableHash.combine(hash, StableHash.of(order.orderId()));
        }
        return hash;
    }

    private DataCentreOrder effectiveOrder(DataCentreOrder order) {
        return snapshot.filter(held -> held.withdraws(order))
                .map(held -> held.withdrawalOf(order))
                .orElse(order);
    }
}
