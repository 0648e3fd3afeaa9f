package org.dogwoodwood.node.ingress;

import java.util.Optional;
import java.util.function.Consumer;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.FinishedCall;

/** A call that starts when the quota of its account admits it. */
final class SubmittedCall {

    /**
     * The result of a submitted call.
     *
     * @param finished the result of the call
     * @param refusal why the quota of the account refused it, or empty if it was admitted
     */
    record Result(FinishedCall finished, Optional<QuotaRefusal> refusal) {}

    private final Ingress ingress;
    private final IngressRequest request;
    private final Consumer<Result> listener;
    private IngressCall call;
    private boolean cancelled;

    private SubmittedCall(Ingress ingress, IngressRequest request, Consumer<Result> listener) {
        this.ingress = ingress;
        this.request = request;
        this.listener = listener;
    }

    /** Submits a call. The listener is called once with its result, unless it is cancelled. */
    static SubmittedCall submit(
            Ingress ingress, IngressRequest request, Consumer<Result> listener) {
        SubmittedCall submitted = new SubmittedCall(ingress, request, listener);
        if (request.account().isPresent()) {
            ingress.quota().decide(request.account().get(), submitted::onDecision);
        } else {
            submitted.onDecision(Optional.empty());
        }
        return submitted;
    }

    /** Cancels the call, whether or not it has started. */
    void cancel() {
        cancelled = true;
        if (call != null) {
            call.cancel();
        }
    }

    private void onDecision(Optional<QuotaRefusal> refusal) {
        if (cancelled) {
            return;
        }
        if (refusal.isPresent()) {
            listener.accept(new Result(FinishedCall.notRun(ErrorCode.QUOTA_EXCEEDED), refusal));
            return;
        }
        call =
                ingress.startCall(
                        request, finished -> listener.accept(new Result(finished, refusal)));
    }
}
