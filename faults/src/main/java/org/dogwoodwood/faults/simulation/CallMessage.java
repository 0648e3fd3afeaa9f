package org.dogwoodwood.faults.simulation;

import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.model.CallDescription;

/**
 * A CALL frame.
 *
 * @param call the description of the call for the guard
 * @param expectedIncarnation the incarnation of the guard that is known to the ingress
 * @param request the request of the caller
 */
public record CallMessage(CallDescription call, long expectedIncarnation, Request request) {

    /** Returns the identity of the attempt. */
    public AttemptId id() {
        return AttemptId.of(call.id(), call.attempt());
    }
}
