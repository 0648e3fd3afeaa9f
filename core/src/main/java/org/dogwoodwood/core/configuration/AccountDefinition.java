package org.dogwoodwood.core.configuration;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.dogwoodwood.core.OrderedCopies;

/**
 * A client account, whose callers identify themselves with one of its keys.
 *
 * @param name the name
 * @param keys the digests of the keys, in their order; an account without keys accepts no caller
 * @param callClass the class of its calls, instead of that of the route; empty for that of the
 *     route
 * @param callsPerSecond the maximum rate of its calls over all nodes, 0 for no limit
 * @param burst the number of calls that it may send above that rate at once
 */
public record AccountDefinition(
        String name,
        Set<AccountKey> keys,
        Optional<String> callClass,
        double callsPerSecond,
        int burst)
        implements ConfigurationObject {

    /** Rejects null references and copies the keys. */
    public AccountDefinition {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(callClass, "callClass");
        keys = OrderedCopies.copyOf(new TreeSet<>(keys));
    }

    /** Returns whether the rate of its calls is limited. */
    public boolean isLimited() {
        return callsPerSecond > 0;
    }
}
