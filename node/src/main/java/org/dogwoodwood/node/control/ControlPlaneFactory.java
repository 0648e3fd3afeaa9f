package org.dogwoodwood.node.control;

/** Creates the control plane of a node. */
@FunctionalInterface
public interface ControlPlaneFactory {

    /**
     * Creates a control plane that is not started yet.
     *
     * @param context the resources and addresses of the node, not null
     */
    ControlPlane create(ControlContext context);
}
