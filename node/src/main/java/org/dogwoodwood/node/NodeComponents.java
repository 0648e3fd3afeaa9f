package org.dogwoodwood.node;

import java.util.Objects;
import org.dogwoodwood.node.control.ControlPlaneFactory;
import org.dogwoodwood.node.guard.DefaultTargetProtocol;
import org.dogwoodwood.node.guard.TargetProtocol;
import org.dogwoodwood.node.ingress.CallerProtocol;
import org.dogwoodwood.node.ingress.DefaultCallerProtocol;
import org.dogwoodwood.node.ingress.IngressLimits;
import org.dogwoodwood.node.memory.BodyMemory;
import org.dogwoodwood.node.metrics.NodeMetrics;
import org.dogwoodwood.node.ports.PortWait;

/**
 * The replaceable components of a node: its control plane, its protocols and its limits.
 *
 * @param control creates the control plane
 * @param callers the protocol between callers and the ingress
 * @param target the protocol between the guard and its target
 * @param bodyMemory bounds the sum of the bodies that the process holds
 * @param metrics receives the measurements of the node
 * @param portWait how long the start waits for a port that is in use
 */
public record NodeComponents(
        ControlPlaneFactory control,
        CallerProtocol callers,
        TargetProtocol target,
        BodyMemory bodyMemory,
        NodeMetrics metrics,
        PortWait portWait) {

    /** Checks that the references are present. */
    public NodeComponents {
        Objects.requireNonNull(control, "control");
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(bodyMemory, "bodyMemory");
        Objects.requireNonNull(metrics, "metrics");
        Objects.requireNonNull(portWait, "portWait");
    }

    /** Creates components that bound bodies by the memory that this process may use. */
    public NodeComponents(
            ControlPlaneFactory control, CallerProtocol callers, TargetProtocol target) {
        this(
                control,
                callers,
                target,
                BodyMemory.ofProcess(Runtime.getRuntime().maxMemory()),
                NodeMetrics.create(),
                PortWait.LIMITED);
    }

    /** Returns components with the default protocols of callers and targets. */
    public static NodeComponents of(ControlPlaneFactory control) {
        return new NodeComponents(
                control,
                DefaultCallerProtocol.create(IngressLimits.DEFAULT),
                DefaultTargetProtocol.create());
    }

    /** Returns these components with another bound on bodies. */
    public NodeComponents withBodyMemory(BodyMemory newMemory) {
        return new NodeComponents(control, callers, target, newMemory, metrics, portWait);
    }

    /** Returns these components with metrics that other parts of the process write to as well. */
    public NodeComponents withMetrics(NodeMetrics newMetrics) {
        return new NodeComponents(control, callers, target, bodyMemory, newMetrics, portWait);
    }

    /** Returns these components with another wait for ports that are in use. */
    public NodeComponents withPortWait(PortWait newWait) {
        return new NodeComponents(control, callers, target, bodyMemory, metrics, newWait);
    }
}
