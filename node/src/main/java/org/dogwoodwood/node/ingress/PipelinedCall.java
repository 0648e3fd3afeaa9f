package org.dogwoodwood.node.ingress;

import java.util.Objects;
import java.util.function.Consumer;

/** A call that runs before the answers to earlier requests of its connection have been written. */
final class PipelinedCall {

    private final IngressRequest request;
    private SubmittedCall call;
    private SubmittedCall.Result finished;
    private Consumer<SubmittedCall.Result> listener;

    private PipelinedCall(IngressRequest request) {
        this.request = Objects.requireNonNull(request, "request");
    }

    /** Submits the call of a request. */
    static PipelinedCall start(Ingress ingress, IngressRequest request) {
        PipelinedCall pipelined = new PipelinedCall(request);
        pipelined.call = SubmittedCall.submit(ingress, request, pipelined::onFinished);
        return pipelined;
    }

    IngressRequest request() {
        return request;
    }

    SubmittedCall call() {
        return call;
    }

    /** Sets the listener for the result; calls it immediately if the call has ended. */
    void onEnd(Consumer<SubmittedCall.Result> newListener) {
        listener = newListener;
        if (finished != null) {
            listener.accept(finished);
        }
    }

    private void onFinished(SubmittedCall.Result result) {
        finished = result;
        if (listener != null) {
            listener.accept(result);
        }
    }
}
