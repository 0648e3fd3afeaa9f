package org.dogwoodwood.core.model;

import java.util.Objects;

/**
 * The identity of a call, the same for all its attempts.
 *
 * @param ingress the node that accepted the call
 * @param incarnation the incarnation of that node
 * @param counter a number that is unique within the incarnation of the ingress
 */
public record CallId(NodeId ingress, long incarnation, long counter) {

    /** Checks that the ingress is not null. */
    public CallId {
        Objects.requireNonNull(ingress, "ingress");
    }

    /** Returns a call id with the given parts. */
    public static CallId of(NodeId ingress, long incarnation, long counter) {
        return new CallId(ingress, incarnation, counter);
    }

    @Override
    public String toString() {
        return ingress + "/" + incarnation + "/" + counter;
    }
}
