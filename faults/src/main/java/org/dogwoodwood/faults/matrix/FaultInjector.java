package org.dogwoodwood.faults.matrix;

import static org.dogwoodwood.faults.simulation.EventLoop.MILLISECOND;
import static org.dogwoodwood.faults.simulation.EventLoop.SECOND;

import java.util.Comparator;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.faults.simulation.Event.Disruption;
import org.dogwoodwood.faults.simulation.SimulatedCluster;
import org.dogwoodwood.faults.simulation.SimulatedNode;
import org.dogwoodwood.faults.simulation.SimulatedTarget;
import org.dogwoodwood.faults.simulation.StepContext;

/** Injects a fault at the nodes that take part in a step, and ends it after a while. */
final class FaultInjector {

    private static final long SHORT_FAULT_NANOS = 3 * SECOND;
    private static final long PAUSE_NANOS = 4 * SECOND;
    private static final long LONG_FAULT_NANOS = 5 * SECOND;
    private static final long ANSWER_DELAY_NANOS = 700 * MILLISECOND;
    private static final int SLOWDOWN_FACTOR = 20;
    private static final int AFFECTED_MESSAGES = 4;

    private final SimulatedCluster cluster;

    FaultInjector(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    void inject(Fault fault, StepContext context) {
        switch (fault) {
            case SUDDEN_SLOWDOWN,
                    DRAIN,
                    FAST_FAILURE,
                    COLD_AGAIN,
                    TARGET_CRASH,
                    LYING_REPORTS,
                    CRASHING_REQUEST ->
                    injectTargetFault(fault, cluster.target(context.guard()));
            case NODE_CRASH, VM_LOST, INGRESS_CRASH, NODE_PAUSED -> injectNodeFault(fault, context);
            case LOG_DOWN, LOG_SLOW, LOG_RESPONSE_LOST, LOG_EXPIRED, RACING_EDITS ->
                    injectLogFault(fault);
            case SILENT_ONE_WAY,
                    SILENT_BOTH_WAYS,
                    ANSWER_LATE,
                    ANSWER_OUT_OF_ORDER,
                    ANSWER_DUPLICATED,
                    MESSAGE_LOST ->
                    injectNetworkFault(fault, context);
            default -> injectDataCentreFault(fault, context);
        }
    }

    private void injectTargetFault(Fault fault, SimulatedTarget target) {
        switch (fault) {
            case SUDDEN_SLOWDOWN -> {
                target.setSlowdownFactor(SLOWDOWN_FACTOR);
                schedule(SHORT_FAULT_NANOS, () -> target.setSlowdownFactor(1));
            }
            case DRAIN -> {
                target.setDraining(true);
                schedule(SHORT_FAULT_NANOS, () -> target.setDraining(false));
            }
            case FAST_FAILURE -> {
                target.setFailing(true);
                schedule(SHORT_FAULT_NANOS, () -> target.setFailing(false));
            }
            case COLD_AGAIN -> target.turnColdWithoutRestart();
            case TARGET_CRASH -> target.crash();
            case LYING_REPORTS -> {
                target.setAlwaysReportsWarm(true);
                schedule(SHORT_FAULT_NANOS, () -> target.setAlwaysReportsWarm(false));
            }
            default -> cluster.callers().sendCrashingRequest();
        }
    }

    private void injectNodeFault(Fault fault, StepContext context) {
        switch (fault) {
            case NODE_CRASH -> cluster.crashNode(context.guard());
            case VM_LOST -> cluster.loseVm(context.guard(), SHORT_FAULT_NANOS);
            case INGRESS_CRASH -> cluster.crashNode(context.ingress());
            default -> {
                SimulatedNode node = cluster.node(context.guard()).orElseThrow();
                cluster.disrupt(
                        Disruption.PAUSE,
                        node.id().value(),
                        PAUSE_NANOS,
                        started -> {
                            if (started) {
                                node.pause(PAUSE_NANOS);
                            }
                        });
            }
        }
    }

    private void injectLogFault(Fault fault) {
        switch (fault) {
            case LOG_DOWN ->
                    cluster.disrupt(
                            Disruption.LOG, "down", LONG_FAULT_NANOS, cluster.log()::setDown);
            case LOG_SLOW ->
                    cluster.disrupt(
                            Disruption.LOG, "slow", LONG_FAULT_NANOS, cluster.log()::setSlow);
            case LOG_RESPONSE_LOST -> cluster.log().loseAppendResponses(AFFECTED_MESSAGES);
            case LOG_EXPIRED ->
                    cluster.log()
                            .expireBefore(
                                    cluster.loop().now() / MILLISECOND
                                            - SimulatedCluster.RECORD_LIFETIME_MILLIS);
            default -> {
                long base = cluster.log().acceptedVersion();
                cluster.publish(base);
                cluster.publish(base);
            }
        }
    }

    private void injectNetworkFault(Fault fault, StepContext context) {
        NodeId other =
                context.ingress().equals(context.guard())
                        ? otherThan(context.guard())
                        : context.ingress();
        switch (fault) {
            case SILENT_ONE_WAY ->
                    cluster.network().silenceConnections(other, context.guard(), false);
            case SILENT_BOTH_WAYS ->
                    cluster.network().silenceConnections(other, context.guard(), true);
            case ANSWER_LATE ->
                    cluster.network().delayNextAnswers(AFFECTED_MESSAGES, ANSWER_DELAY_NANOS);
            case ANSWER_OUT_OF_ORDER ->
                    cluster.network().delayNextAnswers(AFFECTED_MESSAGES, ANSWER_DELAY_NANOS / 20);
            case ANSWER_DUPLICATED -> cluster.network().duplicateNextAnswers(AFFECTED_MESSAGES);
            default -> cluster.network().dropNextMessages(AFFECTED_MESSAGES);
        }
    }

    private void injectDataCentreFault(Fault fault, StepContext context) {
        String dataCentre = cluster.network().dataCentreOf(context.guard());
        if (fault == Fault.DATA_CENTRE_OUT) {
            String id = "fault-" + cluster.loop().now();
            cluster.issueOrder(dataCentre, true, id + "-out");
            schedule(LONG_FAULT_NANOS, () -> cluster.issueOrder(dataCentre, false, id + "-in"));
            return;
        }
        cluster.disrupt(
                Disruption.PARTITION,
                dataCentre,
                SHORT_FAULT_NANOS,
                started -> cluster.network().setIsolated(dataCentre, started));
    }

    private NodeId otherThan(NodeId id) {
        return cluster.nodes().stream()
                .map(SimulatedNode::id)
                .filter(other -> !other.equals(id))
                .max(Comparator.naturalOrder())
                .orElseThrow();
    }

    private void schedule(long nanos, Runnable task) {
        cluster.loop().schedule(nanos, task);
    }
}
