package org.dogwoodwood.core.quota;

/**
 * The answer of a coordinator to an ask of an ingress or to a loan request of another coordinator.
 *
 * @param tokens the number of calls that the receiver may admit
 * @param state why no more tokens are granted
 * @param retryMillis the time until the next token is expected if there are none, in milliseconds
 */
public record QuotaGrant(int tokens, State state, int retryMillis) {

    /** The state of a slot after a grant. */
    public enum State {
        /** All tokens that were needed have been granted. */
        GRANTED,

        /** There are no more tokens at present. */
        EXHAUSTED,

        /** There are no more tokens at present, and the slot has waiting calls of its own. */
        IN_DEMAND,

        /** The asked node is not the coordinator of the slot or does not know the account. */
        NOT_COORDINATOR
    }

    /** Returns a grant of all tokens that were needed. */
    public static QuotaGrant of(int tokens) {
        return new QuotaGrant(tokens, State.GRANTED, 0);
    }

    /** Returns a grant of fewer tokens than needed. */
    public static QuotaGrant exhausted(int tokens, boolean inDemand, int retryMillis) {
        return new QuotaGrant(
                tokens, inDemand ? State.IN_DEMAND : State.EXHAUSTED, Math.max(1, retryMillis));
    }

    /** Returns the answer of a node that is not the coordinator. */
    public static QuotaGrant notCoordinator() {
        return new QuotaGrant(0, State.NOT_COORDINATOR, 0);
    }
}
