package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.dogwoodwood.core.admission.AdmissionDecision;
import org.dogwoodwood.core.admission.TargetCapacity;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.configuration.ServiceDefinition;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.routing.RoutingTable;
import org.dogwoodwood.node.support.TestInstallation;
import org.junit.jupiter.api.Test;

/** Guards against a guard that applies a policy other than the one in force. */
class AdmissionHolderTests {

    private static final int SLOTS = 18;

    private final AtomicReference<RoutingTable> routing =
            new AtomicReference<>(RoutingTable.empty());
    private final AdmissionHolder holder = new AdmissionHolder(routing::get);
    private long counter;

    @Test
    void appliesThePolicyOfAServiceThatIsAnnouncedAfterTheConfiguration() {
        routing.set(withColdCallsPerSecond(1, 1));
        holder.get();
        announceCold();

        assertThat(offer()).isEqualTo(AdmissionDecision.Kind.START);
        assertThat(offer()).isNotEqualTo(AdmissionDecision.Kind.START);
    }

    @Test
    void appliesAPolicyWhileCallsAreInFlight() {
        announceCold();
        assertThat(offer()).isEqualTo(AdmissionDecision.Kind.START);
        routing.set(withColdCallsPerSecond(1, 2));

        assertThat(offer()).isEqualTo(AdmissionDecision.Kind.START);
        assertThat(offer()).isNotEqualTo(AdmissionDecision.Kind.START);
        assertThat(holder.get().inFlight()).isEqualTo(2);
    }

    private void announceCold() {
        TargetCapacity capacity = new TargetCapacity(SLOTS, SLOTS, SLOTS, true, 2);
        holder.onCapacity(TestInstallation.SERVICE, capacity, System.nanoTime());
    }

    private AdmissionDecision.Kind offer() {
        long nowNanos = System.nanoTime();
        CallDescription call =
                new CallDescription(
                        CallId.of(NodeId.of("ingress"), 1, counter++),
                        0,
                        TestInstallation.SERVICE,
                        "default",
                        true,
                        Optional.empty(),
                        0,
                        0,
                        nowNanos + 2_000_000_000L,
                        nowNanos + 2_000_000_000L,
                        true);
        return holder.get().offer(call, nowNanos).kind();
    }

    private static RoutingTable withColdCallsPerSecond(double callsPerSecond, long version) {
        ServiceDefinition service =
                TestInstallation.table().configuration().services().get(TestInstallation.SERVICE);
        PolicyDefinition defaults = PolicyDefinition.withDefaults("default");
        PolicyDefinition policy =
                new PolicyDefinition(
                        "default",
                        defaults.retryShare(),
                        defaults.hedgeQuantile(),
                        defaults.queueLimitMillis(),
                        SLOTS,
                        defaults.ejectionShare(),
                        defaults.crashLimit(),
                        defaults.crashHoldSeconds(),
                        callsPerSecond,
                        0);
        return new RoutingTable(
                new Configuration(
                        version,
                        Map.of(TestInstallation.SERVICE, service),
                        Map.of(),
                        Map.<String, CallClassDefinition>of(),
                        Map.of("default", policy)),
                Map.of(),
                Long.MAX_VALUE,
                false);
    }
}
