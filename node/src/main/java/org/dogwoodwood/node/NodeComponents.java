package org.dogwoodwood.node;

import java.util.Objects;
import org.dogwoodwood.node.control.ControlPlaneFactory;
import org.dogwoodwood.node.guard.DefaultTargetProtocol;
import org.dogwoodwood.node.guard.TargetProtocol;
import org.dogwoodwood.node.ingress.CallerProtocol;
import org.dogwoodwood.node.ingress.DefaultCallerProtocol;
import org.dogwoodwood.node.ingress.IngressLimits;

/**
 * The replaceable components of a node: its control plane and its protocols.
 *
 * @param control creates the control plane
 * @param callers the protocol between callers and the ingress
 * @param target the protocol between the guard and its target
 */
public record NodeComponents(
        ControlPlaneFactory control, CallerProtocol callers, TargetProtocol target) {

    /** Checks that the references are present. */
    public NodeComponents {
        Objects.requireNonNull(control, "control");
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(target, "target");
    }

    /** Returns components with the default protocols of callers and targets. */
    public static NodeComponents of(ControlPlaneFactory control) {
        return new NodeComponents(
                control,
                DefaultCallerProtocol.create(IngressLimits.DEFAULT),
                DefaultTargetProtocol.create());
    }
}
