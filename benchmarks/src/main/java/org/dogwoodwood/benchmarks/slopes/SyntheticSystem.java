package org.dogwoodwood.benchmarks.slopes;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.codec.log.AnnouncementRecord;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.RequestContent;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.configuration.CallClassDefinition;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.DataCentreDefinition;
import org.dogwoodwood.core.configuration.PolicyDefinition;
import org.dogwoodwood.core.configuration.ServiceDefinition;
import org.dogwoodwood.core.membership.Liveness;
import org.dogwoodwood.core.membership.Member;
import org.dogwoodwood.core.membership.MemberTarget;
import org.dogwoodwood.core.membership.MembershipTable;
import org.dogwoodwood.core.membership.MembershipTimings;
import org.dogwoodwood.core.membership.NodeAddress;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetState;

/** Creates members, services and calls with names and values of typical lengths. */
final class SyntheticSystem {

    private static final int SERVICES = 970;
    private static final int DATA_CENTRES = 34;
    private static final int REGIONS = 10;
    private static final int SLOTS = 18;
    private static final int CONNECTIONS = 240;
    private static final int PEER_PORT = 7_001;
    private static final int HTTP_PORT = 8_080;
    private static final long INCARNATION = 1_790_000_000_000L;

    private SyntheticSystem() {}

    /** Returns a table with a number of members, the first of which is the own node. */
    static MembershipTable membershipTable(int members) {
        MembershipTable table =
                MembershipTable.create(member(0), MembershipTimings.defaults(), changed -> {}, 0);
        for (int index = 1; index < members; index++) {
            table.merge(member(index), 0);
        }
        return table;
    }

    static Member member(int index) {
        return new Member(
                nodeId(index),
                INCARNATION + index,
                2,
                Liveness.ALIVE,
                true,
                false,
                new NodeAddress(dataCentre(index), address(index), PEER_PORT, HTTP_PORT),
                new MemberTarget(serviceName(index), SLOTS, CONNECTIONS, TargetState.WARM));
    }

    static AnnouncementRecord announcement(int index) {
        return new AnnouncementRecord(
                nodeId(index).value(),
                INCARNATION + index,
                serviceName(index),
                dataCentre(index),
                address(index),
                PEER_PORT,
                HTTP_PORT,
                SLOTS,
                CONNECTIONS);
    }

    /** Returns a configuration with a number of services and the objects that they refer to. */
    static Configuration configuration(int services) {
        Map<String, ServiceDefinition> byName = new HashMap<>();
        Map<String, CallClassDefinition> classes = new HashMap<>();
        Map<String, PolicyDefinition> policies = new HashMap<>();
        Map<String, DataCentreDefinition> dataCentres = new HashMap<>();
        for (int index = 0; index < DATA_CENTRES; index++) {
            String name = dataCentre(index);
            dataCentres.put(name, new DataCentreDefinition(name, "region-" + index % REGIONS));
        }
        for (int index = 0; index < services; index++) {
            ServiceDefinition service = serviceDefinition(index);
            byName.put(service.name(), service);
            String callClass = service.callClasses().get(0);
            classes.put(callClass, new CallClassDefinition(callClass, 10, 0.5));
            policies.put(service.policy(), PolicyDefinition.withDefaults(service.policy()));
        }
        return new Configuration(1, byName, dataCentres, classes, policies);
    }

    static CallFrame callFrame(long counter) {
        List<HeaderField> headers =
                List.of(
                        HeaderField.of("Accept", "application/json"),
                        HeaderField.of("User-Agent", "conditions-app/4.2"),
                        HeaderField.of("traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-01"));
        return new CallFrame(
                AttemptId.of(CallId.of(nodeId(1), INCARNATION, counter), 0),
                INCARNATION,
                serviceName(1),
                "default",
                RequestContent.of("GET", "/spots/3121/conditions", headers, new byte[0]),
                2_000,
                500,
                true,
                Optional.empty(),
                3,
                counter * 31,
                true);
    }

    static NodeId nodeId(int index) {
        return NodeId.of(String.format("vm-%08x", index * 2_654_435_761L & 0xffff_ffffL));
    }

    static String serviceName(int index) {
        return "service-" + index % SERVICES;
    }

    private static String dataCentre(int index) {
        return "data-centre-" + index % DATA_CENTRES;
    }

    private static String address(int index) {
        return "10." + (index >> 16) + "." + (index >> 8 & 0xff) + "." + (index & 0xff);
    }

    private static ServiceDefinition serviceDefinition(int index) {
        List<String> dataCentres =
                List.of(dataCentre(index), dataCentre(index + 1), dataCentre(index + 2));
        return new ServiceDefinition(
                "service-" + index,
                List.of("service-" + index + ".example.org"),
                "policy-" + index % 100,
                dataCentres,
                List.of("tenant-" + index % 200),
                ServiceDefinition.DEFAULT_TIMEOUT_MILLIS,
                ServiceDefinition.IDEMPOTENT_METHODS,
                ServiceDefinition.DEFAULT_KEY_WINDOW_SECONDS,
                ServiceDefinition.DEFAULT_MAX_REQUEST_BYTES,
                ServiceDefinition.DEFAULT_MAX_ANSWER_BYTES);
    }
}
