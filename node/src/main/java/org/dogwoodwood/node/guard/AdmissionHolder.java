package org.dogwoodwood.node.guard;

import java.util.Map;
import java.util.function.Supplier;
import org.dogwoodwood.core.admission.AdmissionController;
import org.dogwoodwood.core.admission.DefaultAdmissionController;
import org.dogwoodwood.core.admission.TargetCapacity;
import org.dogwoodwood.core.configuration.AccountDefinition;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.routing.RoutingTable;
import org.dogwoodwood.node.metrics.NodeMetrics;

/** Holds the admission controller of the target and applies configuration changes to it. */
final class AdmissionHolder {

    private static final TargetCapacity NO_CAPACITY = new TargetCapacity(1, 1, 1, true, 0);

    private static final long SHARES_INTERVAL_NANOS = 1_000_000_000L;
    private static final int PER_MILLE = 1_000;

    private final Supplier<RoutingTable> routing;
    private final AdmissionController controller;
    private String service = "";
    private Configuration configuration = Configuration.empty();
    private PolicyDefinition policy = PolicyDefinition.withDefaults("default");
    private Map<String, CallClassDefinition> classes = Map.of();
    private Map<String, AccountDefinition> accounts = Map.of();
    private long sharesReadNanos = System.nanoTime();

    // The share of calls of the worst tenth of the accounts that were started, at most a second old
    // while calls arrive; read on the threads that write metrics.
    private volatile long worstAccountsServedPerMille = PER_MILLE;

    AdmissionHolder(Supplier<RoutingTable> routing) {
        this.routing = routing;
        this.controller =
                DefaultAdmissionController.create(policy, classes, NO_CAPACITY, System.nanoTime());
    }

    /** Creates a holder that reports to metrics how the accounts share the target. */
    AdmissionHolder(Supplier<RoutingTable> routing, NodeMetrics metrics) {
        this(routing);
        metrics.addGauge(
                "dogwoodwood_worst_accounts_served_per_mille", () -> worstAccountsServedPerMille);
    }

    /** Returns the controller, after applying the configuration in force if it has changed. */
    AdmissionController get() {
        Configuration next = routing.get().configuration();
        if (next.version() != configuration.version()) {
            configuration = next;
            applyConfiguration();
        }
        readShares(System.nanoTime());
        return controller;
    }

    /** Returns the policy of the target's service, as last applied to the controller. */
    PolicyDefinition policy() {
        return policy;
    }

    /** Applies a changed capacity, and the policy of the target's service if that is new. */
    void onCapacity(String announcedService, TargetCapacity capacity, long nowNanos) {
        if (!announcedService.equals(service)) {
            service = announcedService;
            applyConfiguration();
        }
        get().onCapacity(capacity, nowNanos);
    }

    private void applyConfiguration() {
        PolicyDefinition nextPolicy = configuration.policyOf(service);
        Map<String, CallClassDefinition> nextClasses = configuration.callClasses();
        if (!nextPolicy.equals(policy) || !nextClasses.equals(classes)) {
            policy = nextPolicy;
            classes = nextClasses;
            controller.onConfiguration(policy, classes, System.nanoTime());
        }
        if (!configuration.accounts().equals(accounts)) {
            accounts = configuration.accounts();
            controller.onAccounts(accounts.values());
        }
    }

    private void readShares(long nowNanos) {
        if (nowNanos - sharesReadNanos >= SHARES_INTERVAL_NANOS) {
            sharesReadNanos = nowNanos;
            double share = controller.servedShareOfWorstAccounts(nowNanos);
            worstAccountsServedPerMille = Math.round(PER_MILLE * share);
        }
    }
}
