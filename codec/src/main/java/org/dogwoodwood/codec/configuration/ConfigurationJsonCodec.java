package org.dogwoodwood.codec.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.configuration.AccountDefinition;
import org.dogwoodwood.core.configuration.AccountKey;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.DataCentreDefinition;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.configuration.RouteDefinition;
import org.dogwoodwood.core.configuration.ServiceDefinition;

/**
 * Converts configurations to and from the JSON document that log records and frames contain.
 *
 * <p>The document contains the objects but not the version, which is derived from the position in
 * the log. Equal objects are encoded to equal documents, so documents can be compared by hash.
 *
 * <p>Accounts and public routes are left out of documents that have none, so that nodes of earlier
 * releases can read those documents and compute the same hash.
 */
public final class ConfigurationJsonCodec {

    private static final String ACCOUNTS = "accounts";
    private static final String PUBLIC_ACCESS = "public_access";
    private static final String IDEMPOTENT_METHODS = "idempotent_methods";

    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
                    .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private ConfigurationJsonCodec() {}

    /**
     * Encodes a configuration as a JSON document.
     *
     * @param configuration the configuration, not null; its version is not encoded
     * @return the document
     */
    public static String encode(Configuration configuration) {
        ObjectNode tree = MAPPER.valueToTree(Document.of(configuration));
        for (JsonNode service : tree.get("services")) {
            sortMethods((ObjectNode) service);
        }
        removeAbsent(tree);
        try {
            return MAPPER.writeValueAsString(MAPPER.treeToValue(tree, Object.class));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("The configuration cannot be encoded as JSON.", e);
        }
    }

    /**
     * Decodes a document to a configuration with version 0.
     *
     * @param document the document, not null
     * @throws DogwoodwoodException if the document is not a valid configuration in JSON
     */
    public static Configuration decode(String document) {
        return decode(document, 0);
    }

    /**
     * Decodes a document to a configuration.
     *
     * @param document the document, not null
     * @param version the version under which the document was accepted
     * @throws DogwoodwoodException if the document is not a valid configuration in JSON
     */
    public static Configuration decode(String document, long version) {
        try {
            JsonNode tree = MAPPER.readTree(document);
            addAbsent(tree);
            return MAPPER.treeToValue(tree, Document.class).toConfiguration(version);
        } catch (JsonProcessingException | IllegalArgumentException | NullPointerException e) {
            throw new DogwoodwoodException(
                    ErrorCode.CONFIGURATION_SYNTAX,
                    "The configuration document is not valid: " + e.getMessage(),
                    e);
        }
    }

    // The iteration order of an immutable set differs between JVM runs.
    private static void sortMethods(ObjectNode service) {
        TreeSet<String> sorted = new TreeSet<>();
        service.get(IDEMPOTENT_METHODS).forEach(method -> sorted.add(method.asText()));
        ArrayNode methods = service.putArray(IDEMPOTENT_METHODS);
        sorted.forEach(methods::add);
    }

    private static void removeAbsent(ObjectNode tree) {
        if (tree.get(ACCOUNTS).isEmpty()) {
            tree.remove(ACCOUNTS);
        }
        for (JsonNode route : tree.get("routes")) {
            if (!route.get(PUBLIC_ACCESS).booleanValue()) {
                ((ObjectNode) route).remove(PUBLIC_ACCESS);
            }
        }
    }

    private static void addAbsent(JsonNode tree) {
        if (tree instanceof ObjectNode document && !document.has(ACCOUNTS)) {
            document.putObject(ACCOUNTS);
        }
        for (JsonNode route : tree.path("routes")) {
            if (route instanceof ObjectNode object && !object.has(PUBLIC_ACCESS)) {
                object.put(PUBLIC_ACCESS, false);
            }
        }
    }

    private record Document(
            Map<String, ServiceDefinition> services,
            Map<String, DataCentreDefinition> dataCentres,
            Map<String, CallClassDefinition> classes,
            Map<String, PolicyDefinition> policies,
            Map<String, RouteDefinition> routes,
            Map<String, AccountDocument> accounts) {

        static Document of(Configuration configuration) {
            return new Document(
                    configuration.services(),
                    configuration.dataCentres(),
                    configuration.callClasses(),
                    configuration.policies(),
                    configuration.routes(),
                    convert(configuration.accounts(), AccountDocument::of));
        }

        Configuration toConfiguration(long version) {
            return new Configuration(
                    version,
                    services,
                    dataCentres,
                    classes,
                    policies,
                    routes,
                    convert(accounts, AccountDocument::toAccount));
        }

        private static <A, B> Map<String, B> convert(Map<String, A> map, Function<A, B> function) {
            Map<String, B> result = new LinkedHashMap<>();
            map.forEach((name, value) -> result.put(name, function.apply(value)));
            return result;
        }
    }

    /** An account in the document; without a class, {@code callClass} is empty. */
    private record AccountDocument(
            String name,
            List<String> keyDigests,
            String callClass,
            double callsPerSecond,
            int burst) {

        static AccountDocument of(AccountDefinition account) {
            return new AccountDocument(
                    account.name(),
                    account.keys().stream().map(AccountKey::digest).toList(),
                    account.callClass().orElse(""),
                    account.callsPerSecond(),
                    account.burst());
        }

        AccountDefinition toAccount() {
            return new AccountDefinition(
                    name,
                    keyDigests.stream().map(AccountKey::new).collect(Collectors.toSet()),
                    callClass.isEmpty() ? Optional.empty() : Optional.of(callClass),
                    callsPerSecond,
                    burst);
        }
    }
}
