package org.dogwoodwood.node.ingress;

import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;

/** A request without a key of an account, on a route that needs one. */
public final class UnknownKeyException extends DogwoodwoodException {

    private static final long serialVersionUID = 1L;

    private final String route;
    private final String digest;
    private final String account;

    /**
     * Creates an exception.
     *
     * @param detail what is wrong with the key, without the key
     * @param route the name of the route; empty if no route matches
     * @param digest the label of the key's digest; empty if there is no readable key
     * @param account the account that the key was revoked from, if that is known; otherwise empty
     */
    UnknownKeyException(String detail, String route, String digest, String account) {
        super(ErrorCode.UNKNOWN_ACCOUNT_KEY, detail);
        this.route = route;
        this.digest = digest;
        this.account = account;
    }

    /** Returns the name of the route; empty if no route matches. */
    String route() {
        return route;
    }

    /** Returns the first digits of the key's digest; empty if there is no readable key. */
    String digest() {
        return digest;
    }

    /** Returns the account that the key was revoked from, if that is known; otherwise empty. */
    String account() {
        return account;
    }
}
