package org.dogwoodwood.core.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The order in force for each data centre. Not thread-safe.
 *
 * <p>A merge keeps the order with the highest counter, on a tie OUT, then the higher order id. It
 * is commutative, associative and idempotent, so nodes converge whatever the order of delivery.
 */
public final class DataCentreOrders {

    private final Map<String, DataCentreOrder> orders = new TreeMap<>();

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
     * @return whether it replaced the one in force
     */
    public boolean merge(DataCentreOrder order) {
        DataCentreOrder present = orders.get(order.dataCentre());
        if (present != null && !order.supersedes(present)) {
            return false;
        }
        orders.put(order.dataCentre(), order);
        return true;
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
}
