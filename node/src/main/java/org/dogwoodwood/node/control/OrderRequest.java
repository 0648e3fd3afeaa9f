package org.dogwoodwood.node.control;

import io.vertx.core.json.JsonObject;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.membership.DataCentreOrder;

/**
 * A request to the admin port to take a data centre out or bring it back.
 *
 * @param dataCentre the data centre
 * @param state the state to order
 * @param orderId the id by which a repeated request is recognised
 */
record OrderRequest(String dataCentre, DataCentreOrder.State state, String orderId) {

    private static final String OUT = "out";
    private static final String IN = "in";

    /**
     * Parses a request.
     *
     * @throws DogwoodwoodException with {@code BAD_REQUEST} if a field is missing or invalid
     */
    static OrderRequest parse(String dataCentre, JsonObject body) {
        String stateName;
        String orderId;
        try {
            stateName = body.getString("state", "");
            orderId = body.getString("order_id", "");
        } catch (ClassCastException e) {
            throw malformed();
        }
        boolean out = stateName.equals(OUT);
        if ((!out && !stateName.equals(IN)) || orderId.isBlank() || dataCentre.isBlank()) {
            throw malformed();
        }
        DataCentreOrder.State state = out ? DataCentreOrder.State.OUT : DataCentreOrder.State.IN;
        return new OrderRequest(dataCentre, state, orderId);
    }

    /** Returns the failure of a request whose id belongs to the operators' source. */
    static DogwoodwoodException reservedId(String orderId) {
        return new DogwoodwoodException(
                ErrorCode.BAD_REQUEST,
                "The order_id \"" + orderId + "\" is reserved; choose another one.");
    }

    /** Returns the requested order before it has a counter. */
    DataCentreOrder toOrder() {
        return new DataCentreOrder(dataCentre, 0, state, orderId);
    }

    private static DogwoodwoodException malformed() {
        return new DogwoodwoodException(
                ErrorCode.BAD_REQUEST,
                "An order needs a data centre, state \"out\" or \"in\", and an order_id.");
    }
}
