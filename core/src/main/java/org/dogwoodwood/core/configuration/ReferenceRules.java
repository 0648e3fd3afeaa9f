package org.dogwoodwood.core.configuration;

import static org.dogwoodwood.core.ErrorCode.DANGLING_REFERENCE;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;

/** Checks that each name that an object refers to is defined. */
final class ReferenceRules {

    private final NameSuggestions suggestions;
    private final Consumer<ConfigurationProblem> problems;

    private ReferenceRules(NameSuggestions suggestions, Consumer<ConfigurationProblem> problems) {
        this.suggestions = suggestions;
        this.problems = problems;
    }

    static void check(
            ConfigurationDraft draft,
            NameSuggestions suggestions,
            Consumer<ConfigurationProblem> problems) {
        ReferenceRules rules = new ReferenceRules(suggestions, problems);
        Set<String> policies = names(draft.policies());
        Set<String> dataCentres = names(draft.dataCentres());
        Set<String> callClasses = names(draft.callClasses());
        for (DraftObject<ServiceDefinition> service : draft.services()) {
            ServiceDefinition definition = service.definition();
            rules.checkNames(
                    service,
                    ConfigurationKey.SERVICE_POLICY,
                    ObjectKind.POLICY,
                    List.of(definition.policy()),
                    policies);
            rules.checkNames(
                    service,
                    ConfigurationKey.SERVICE_DATA_CENTRES,
                    ObjectKind.DATA_CENTRE,
                    definition.dataCentres(),
                    dataCentres);
            rules.checkNames(
                    service,
                    ConfigurationKey.SERVICE_CALL_CLASSES,
                    ObjectKind.CALL_CLASS,
                    definition.callClasses(),
                    callClasses);
        }
        Set<String> services = names(draft.services());
        for (DraftObject<RouteDefinition> route : draft.routes()) {
            rules.checkNames(
                    route,
                    ConfigurationKey.ROUTE_SHARES,
                    ObjectKind.SERVICE,
                    route.definition().shares().stream().map(ServiceShare::service).toList(),
                    services);
            rules.checkNames(
                    route,
                    ConfigurationKey.ROUTE_CALL_CLASS,
                    ObjectKind.CALL_CLASS,
                    List.of(route.definition().callClass()),
                    callClasses);
        }
        for (DraftObject<AccountDefinition> account : draft.accounts()) {
            rules.checkNames(
                    account,
                    ConfigurationKey.ACCOUNT_CALL_CLASS,
                    ObjectKind.CALL_CLASS,
                    account.definition().callClass().stream().toList(),
                    callClasses);
        }
    }

    private void checkNames(
            DraftObject<?> object,
            ConfigurationKey key,
            ObjectKind referenced,
            Collection<String> names,
            Set<String> known) {
        names.stream()
                .filter(name -> !known.contains(name))
                .forEach(name -> problems.accept(dangling(object, key, referenced, name, known)));
    }

    private ConfigurationProblem dangling(
            DraftObject<?> object,
            ConfigurationKey key,
            ObjectKind referenced,
            String name,
            Set<String> known) {
        String remedy =
                suggestions
                        .closest(name, known)
                        .map(suggestion -> "Did you mean '" + suggestion + "'?")
                        .orElse("Define [" + referenced.qualify(name) + "] or correct the name.");
        return new ConfigurationProblem(
                DANGLING_REFERENCE,
                object.locationOf(key.label()),
                key.label() + " names " + referenced.qualify(name) + ", which is not defined.",
                remedy);
    }

    private static Set<String> names(List<? extends DraftObject<?>> objects) {
        Set<String> names = new TreeSet<>();
        objects.forEach(object -> names.add(object.definition().name()));
        return names;
    }
}
