package org.dogwoodwood.node.ingress;

import java.util.Objects;
import java.util.function.Consumer;
import org.dogwoodwood.core.calls.FinishedCall;

/** A call that runs before the answers to earlier requests of its connection have been written. */
final class PipelinedCall {

    private final IngressRequest request;
    private IngressCall call;
    private FinishedCall finished;
    private Consumer<FinishedCall> listener;

    private PipelinedCall(IngressRequest request) {
        this.request = Objects.requireNonNull(request, "request");
    }

    /** Starts the call of a request. */
    static PipelinedCall start(Ingress ingress, IngressRequest request) {
        PipelinedCall pipelined = new PipelinedCall(request);
        pipelined.call = ingress.startCall(request, pipelined::onFinished);
        return pipelined;
    }

    IngressRequest request() {
        return request;
    }

    IngressCall call() {
        return call;
    }

    /** Sets the listener for the result; calls it immediately if the call has ended. */
    void onEnd(Consumer<FinishedCall> newListener) {
        listener = newListener;
        if (finished != null) {
            listener.accept(finished);
        }
    }

    private void onFinished(FinishedCall result) {
        finished = result;
        if (listener != null) {
            listener.accept(result);
        }
    }
}
