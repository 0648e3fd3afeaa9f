package org.dogwoodwood.node;

import java.util.Objects;
import org.dogwoodwood.node.control.ControlPlaneFactory;
import org.dogwoodwood.node.guard.DefaultTargetProtocol;
import org.dogwoodwood.node.guard.TargetProtocol;
import org.dogwoodwood.node.ingress.CallerProtocol;
import org.dogwoodwood.node.ingress.DefaultCallerProtocol;
import org.dogwoodwood.node.ingress.IngressLimits;

/**
 * What other packages contribute to a node.
 *
 * @param control creates the control plane
 * @param callers how callers speak to the ingress
 * @param target how the guard speaks to its target
 */
public record NodeParts(
        ControlPlaneFactory control, CallerProtocol callers, TargetProtocol target) {

    /** Checks that the references are present. */
    public NodeParts {
        Objects.requireNonNull(control, "control");
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(target, "target");
    }

    /** Returns parts that speak the product's own interfaces. */
    public static NodeParts of(ControlPlaneFactory control) {
        return new NodeParts(
                control,
                DefaultCallerProtocol.create(IngressLimits.DEFAULT),
                DefaultTargetProtocol.create());
    }
}
