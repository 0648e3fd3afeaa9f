package org.dogwoodwood.core.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.core.configuration.AccountDefinition;

/**
 * The weights with which client accounts share a busy target. The weight of an account is its
 * limit, which is in proportion to its usual load. An account without a limit, and the calls
 * without an account together, have the mean weight of the others, since a constant would give them
 * either hardly a turn or nearly all of them.
 */
final class AccountWeights {

    /** The account that calls without an account belong to; no account has this name. */
    static final String NO_ACCOUNT = "";

    private static final AccountWeights EQUAL = new AccountWeights(Map.of(), 1);

    private final Map<String, Double> limits;
    private final double defaultWeight;

    private AccountWeights(Map<String, Double> limits, double defaultWeight) {
        this.limits = limits;
        this.defaultWeight = defaultWeight;
    }

    /** Returns the weight 1 for each account. */
    static AccountWeights equal() {
        return EQUAL;
    }

    /** Returns the weights of the given accounts. */
    static AccountWeights of(Collection<AccountDefinition> accounts) {
        Map<String, Double> limits = new HashMap<>();
        accounts.stream()
                .filter(AccountDefinition::isLimited)
                .forEach(account -> limits.put(account.name(), account.callsPerSecond()));
        double mean = limits.values().stream().mapToDouble(limit -> limit).average().orElse(1);
        return new AccountWeights(limits, mean);
    }

    /** Returns the name under which calls of an account are counted. */
    static String nameOf(Optional<String> account) {
        return account.orElse(NO_ACCOUNT);
    }

    /** Returns the weight of an account, above 0. */
    double of(String account) {
        return limits.getOrDefault(account, defaultWeight);
    }
}
