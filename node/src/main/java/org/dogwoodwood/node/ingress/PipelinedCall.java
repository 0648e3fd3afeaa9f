package org.dogwoodwood.node.ingress;

import java.util.Objects;
import java.util.function.Consumer;
import org.dogwoodwood.core.calls.FinishedCall;

/** A call that runs while the answers to earlier requests of its connection are still due. */
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
        PipelinedCall early = new PipelinedCall(request);
        early.call = ingress.startCall(request, early::onFinished);
        return early;
    }

    IngressRequest request() {
        return request;
    }

    IngressCall call() {
        return call;
    }

    /** Sets who is told how the call ends; at once if it has ended. */
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
