package org.dogwoodwood.core.membership;

import java.util.List;
import java.util.Objects;

/**
 * All orders that a source of operators' orders holds at one position. A data centre without an
 * order here is in: the source has no order about it, or no longer has one.
 *
 * @param counter the position; orders of the source with higher counters are newer
 * @param sourceId the order id that the source gives to all of its orders, not null
 * @param orders the orders that the source holds, not null
 * @param firstCounter the counter of the first order whose absence shows that it was withdrawn; a
 *     source that came back from an older copy may have lost orders with lower counters
 */
public record OrderSnapshot(
        long counter, String sourceId, List<DataCentreOrder> orders, long firstCounter) {

    /** Creates a snapshot of a source that has lost no order. */
    public OrderSnapshot(long counter, String sourceId, List<DataCentreOrder> orders) {
        this(counter, sourceId, orders, 0);
    }

    /** Copies the orders. */
    public OrderSnapshot {
        Objects.requireNonNull(sourceId, "sourceId");
        orders = List.copyOf(orders);
    }

    /** Returns whether the source had withdrawn an order when the snapshot was taken. */
    boolean withdraws(DataCentreOrder order) {
        return order.orderId().equals(sourceId)
                && order.counter() <= counter
                && order.counter() >= firstCounter
                && orders.stream().noneMatch(held -> held.dataCentre().equals(order.dataCentre()));
    }

    /** Returns the order that replaces a withdrawn one. */
    DataCentreOrder withdrawalOf(DataCentreOrder order) {
        return new DataCentreOrder(order.dataCentre(), counter, DataCentreOrder.State.IN, sourceId);
    }
}
