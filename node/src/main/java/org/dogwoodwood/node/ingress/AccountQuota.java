package org.dogwoodwood.node.ingress;

import java.util.Optional;
import java.util.function.Consumer;

/** Decides whether the calls of client accounts may start; used on the traffic loop only. */
@FunctionalInterface
public interface AccountQuota {

    /**
     * Decides on a call.
     *
     * @param account the name of the account, not null
     * @param listener receives the refusal, or empty if the call may start; called once, possibly
     *     before this method returns
     */
    void decide(String account, Consumer<Optional<QuotaRefusal>> listener);

    /** Returns a quota that admits all calls. */
    static AccountQuota unlimited() {
        return (account, listener) -> listener.accept(Optional.empty());
    }
}
