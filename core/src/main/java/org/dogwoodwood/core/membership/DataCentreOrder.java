package org.dogwoodwood.core.membership;

import java.util.Objects;

/**
 * An operator's order about one data centre.
 *
 * @param dataCentre the data centre
 * @param counter increases with each order about the data centre
 * @param state whether the data centre may receive new work
 * @param orderId the id assigned by the operators' tool
 */
public record DataCentreOrder(String dataCentre, long counter, State state, String orderId) {

    // Number, state and the MessagePack headers of an encoded order.
    private static final int FIXED_BYTES = 18;

    /** Whether a data centre may receive new work; OUT takes precedence over IN. */
    public enum State {
        IN,
        OUT
    }

    /** Checks that the references are present. */
    public DataCentreOrder {
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(orderId, "orderId");
    }

    /** Returns whether this order replaces another one about the same data centre. */
    public boolean supersedes(DataCentreOrder other) {
        if (counter != other.counter) {
            return counter > other.counter;
        }
        if (state != other.state) {
            return state.compareTo(other.state) > 0;
        }
        return orderId.compareTo(other.orderId) > 0;
    }

    /** Returns an upper bound of the encoded size, in bytes, for names in ASCII. */
    int encodedBytes() {
        return FIXED_BYTES + dataCentre.length() + orderId.length();
    }
}
