package org.dogwoodwood.faults.simulation;

import java.util.Optional;
import org.dogwoodwood.core.model.NodeId;

/**
 * The step that was reached and the nodes that take part in it.
 *
 * @param step the step
 * @param ingress the node that accepted the call, or the only node of a step that is not part of a
 *     call
 * @param guard the node beside the target, or the only node of a step that is not part of a call
 * @param request the request, or empty if the step is not part of a call
 */
public record StepContext(Step step, NodeId ingress, NodeId guard, Optional<Request> request) {

    /** Returns the context of a step that concerns one node. */
    public static StepContext ofNode(Step step, NodeId node) {
        return new StepContext(step, node, node, Optional.empty());
    }

    /** Returns the context of a step of a call. */
    public static StepContext ofCall(Step step, NodeId ingress, NodeId guard, Request request) {
        return new StepContext(step, ingress, guard, Optional.of(request));
    }
}
