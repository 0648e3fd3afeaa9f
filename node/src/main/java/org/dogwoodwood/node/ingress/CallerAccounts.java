package org.dogwoodwood.node.ingress;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.core.configuration.AccountDefinition;
import org.dogwoodwood.core.configuration.AccountDirectory;
import org.dogwoodwood.core.configuration.AccountKey;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.RouteDefinition;
import org.dogwoodwood.core.model.HeaderField;

/**
 * Identifies the accounts of requests by the keys in their {@code Authorization} field, and removes
 * from requests what their target must not see. Used on the traffic loop only.
 */
public final class CallerAccounts {

    private static final String AUTHORIZATION = "Authorization";
    private static final int MAX_REVOKED_KEYS = 1_000;

    private final String scheme;
    private final String accountHeader;
    private Configuration indexed = Configuration.empty();
    private AccountDirectory directory = AccountDirectory.empty();

    // Keys of earlier versions, so that a log line can name the account.
    private final Map<AccountKey, String> revoked = new LinkedHashMap<>();

    private CallerAccounts(String scheme, String accountHeader) {
        this.scheme = scheme;
        this.accountHeader = accountHeader;
    }

    /**
     * Returns an instance that has seen no configuration.
     *
     * @param scheme the authentication scheme that precedes the key, not null
     * @param accountHeader the header field in which a target gets the name of the account
     */
    public static CallerAccounts create(String scheme, String accountHeader) {
        return new CallerAccounts(scheme, accountHeader);
    }

    /**
     * Returns the account of a request, or empty if it has none and needs none.
     *
     * @param request the head of the request, not null
     * @param configuration the configuration in force, not null
     * @param route the route of the request; a request without a route needs a key
     * @throws UnknownKeyException if the request needs a key of an account and has none
     */
    public Optional<AccountDefinition> identify(
            RequestHead request, Configuration configuration, Optional<RouteDefinition> route) {
        index(configuration);
        if (!directory.requiresKeys()) {
            return Optional.empty();
        }
        Optional<AccountKey> key = keyOf(request);
        Optional<AccountDefinition> account = key.flatMap(directory::accountOf);
        if (account.isEmpty() && !route.map(RouteDefinition::publicAccess).orElse(false)) {
            throw unknownKey(key, route);
        }
        return account;
    }

    /**
     * Returns header fields without the key and without a forged account.
     *
     * @param headers the fields that the caller sent, not null
     * @param configuration the configuration in force, not null
     */
    public List<HeaderField> forwardable(List<HeaderField> headers, Configuration configuration) {
        boolean keepsCredentials = configuration.accounts().isEmpty();
        return headers.stream()
                .filter(header -> !header.name().equalsIgnoreCase(accountHeader))
                .filter(
                        header ->
                                keepsCredentials || !header.name().equalsIgnoreCase(AUTHORIZATION))
                .toList();
    }

    private Optional<AccountKey> keyOf(RequestHead request) {
        List<String> fields = request.headers().getAll(AUTHORIZATION);
        if (fields.size() != 1) {
            return Optional.empty();
        }
        String field = fields.get(0).strip();
        int space = field.indexOf(' ');
        if (space < 0 || !field.substring(0, space).equalsIgnoreCase(scheme)) {
            return Optional.empty();
        }
        return Optional.of(AccountKey.fromClearText(field.substring(space).strip()));
    }

    private UnknownKeyException unknownKey(
            Optional<AccountKey> key, Optional<RouteDefinition> route) {
        String digest = key.map(AccountKey::label).orElse("");
        String detail =
                key.isEmpty()
                        ? "The request has no readable key in 'Authorization: " + scheme + " KEY'."
                        : "The key with the digest " + digest + "... belongs to no account.";
        return new UnknownKeyException(
                detail,
                route.map(RouteDefinition::name).orElse(""),
                digest,
                key.map(revoked::get).orElse(""));
    }

    // Each accepted version has its own instance. The number of the version would not do, since
    // the same number may stand for another document after the operators' store was replaced.
    @SuppressWarnings("ReferenceEquality")
    private void index(Configuration configuration) {
        if (configuration == indexed) {
            return;
        }
        directory = AccountDirectory.of(configuration);
        for (AccountDefinition former : indexed.accounts().values()) {
            former.keys().forEach(key -> revoked.put(key, former.name()));
        }
        revoked.keySet().removeIf(key -> directory.accountOf(key).isPresent());
        while (revoked.size() > MAX_REVOKED_KEYS) {
            revoked.remove(revoked.keySet().iterator().next());
        }
        indexed = configuration;
    }
}
