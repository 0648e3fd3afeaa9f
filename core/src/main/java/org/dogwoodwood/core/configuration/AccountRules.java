package org.dogwoodwood.core.configuration;

import static org.dogwoodwood.core.ErrorCode.CONTRADICTORY_LIMITS;
import static org.dogwoodwood.core.ErrorCode.DUPLICATE_OBJECT;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Checks that a key identifies one account and that limits of accounts can be kept. */
final class AccountRules {

    private AccountRules() {}

    static void check(ConfigurationDraft draft, Consumer<ConfigurationProblem> problems) {
        Map<AccountKey, String> owners = new HashMap<>();
        for (DraftObject<AccountDefinition> account : draft.accounts()) {
            for (AccountKey key : account.definition().keys()) {
                String owner = owners.putIfAbsent(key, account.qualifiedName());
                if (owner != null) {
                    problems.accept(duplicate(account, key, owner));
                }
            }
            checkBurst(account, problems);
        }
    }

    private static ConfigurationProblem duplicate(
            DraftObject<AccountDefinition> account, AccountKey key, String owner) {
        return new ConfigurationProblem(
                DUPLICATE_OBJECT,
                account.locationOf(ConfigurationKey.ACCOUNT_KEY_DIGESTS.label()),
                "The key with the digest " + key.label() + "... already belongs to " + owner + ".",
                "Remove the key from one of the two accounts.");
    }

    /** A call is admitted from the burst, so that a limit without one would refuse every call. */
    private static void checkBurst(
            DraftObject<AccountDefinition> account, Consumer<ConfigurationProblem> problems) {
        AccountDefinition definition = account.definition();
        if (definition.isLimited() && definition.burst() == 0) {
            problems.accept(
                    new ConfigurationProblem(
                            CONTRADICTORY_LIMITS,
                            account.locationOf(ConfigurationKey.ACCOUNT_BURST.label()),
                            "calls_per_second is limited but burst is 0, so no call is allowed.",
                            "Set burst to at least 1, for example to calls_per_second."));
        }
    }
}
