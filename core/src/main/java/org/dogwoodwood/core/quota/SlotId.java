package org.dogwoodwood.core.quota;

import java.util.Objects;

/**
 * A slot of the limit of an account.
 *
 * @param account the name of the account
 * @param slot the number of the slot, from 0
 */
public record SlotId(String account, int slot) {

    /** Checks that the account is not null. */
    public SlotId {
        Objects.requireNonNull(account, "account");
    }

    /** Returns the key by which the coordinator is chosen. */
    String hashKey() {
        return account + "#" + slot;
    }
}
