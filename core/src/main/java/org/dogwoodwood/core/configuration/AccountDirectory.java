package org.dogwoodwood.core.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The accounts of one configuration by the digests of their keys. Immutable. */
public final class AccountDirectory {

    private static final AccountDirectory EMPTY = new AccountDirectory(Map.of(), false);

    private final Map<AccountKey, AccountDefinition> byKey;
    private final boolean required;

    private AccountDirectory(Map<AccountKey, AccountDefinition> byKey, boolean required) {
        this.byKey = byKey;
        this.required = required;
    }

    /** Returns the directory of a configuration without accounts. */
    public static AccountDirectory empty() {
        return EMPTY;
    }

    /** Builds the directory of a configuration; meant to be kept as long as it is in force. */
    public static AccountDirectory of(Configuration configuration) {
        if (configuration.accounts().isEmpty()) {
            return EMPTY;
        }
        Map<AccountKey, AccountDefinition> byKey = new HashMap<>();
        for (AccountDefinition account : configuration.accounts().values()) {
            account.keys().forEach(key -> byKey.putIfAbsent(key, account));
        }
        return new AccountDirectory(byKey, true);
    }

    /** Returns whether the configuration has accounts, so that requests need a key. */
    public boolean requiresKeys() {
        return required;
    }

    /** Returns the account that a key belongs to, or empty if no account has it. */
    public Optional<AccountDefinition> accountOf(AccountKey key) {
        return Optional.ofNullable(byKey.get(key));
    }
}
