package org.dogwoodwood.codec.log;

import java.util.Objects;
import org.dogwoodwood.core.membership.DataCentreOrder;

/**
 * Records an operator's order to take a data centre out or to return it.
 *
 * @param dataCentre the data centre
 * @param counter increases with each order for the data centre
 * @param state whether the data centre may receive new calls
 * @param orderId the id that the operators' tool assigned
 */
public record DataCentreOrderRecord(
        String dataCentre, long counter, DataCentreOrder.State state, String orderId)
        implements LogRecord {

    /** Checks that the references are present. */
    public DataCentreOrderRecord {
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(orderId, "orderId");
    }

    /** Returns the record of an order. */
    public static DataCentreOrderRecord of(DataCentreOrder order) {
        return new DataCentreOrderRecord(
                order.dataCentre(), order.counter(), order.state(), order.orderId());
    }

    /** Returns the order in this record. */
    public DataCentreOrder toOrder() {
        return new DataCentreOrder(dataCentre, counter, state, orderId);
    }

    @Override
    public String subject() {
        return "data-centre/" + dataCentre;
    }
}
