package org.dogwoodwood.node.guard;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.idempotency.IdempotencyRegistry;
import org.dogwoodwood.core.idempotency.KeyDecision;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.Outcome;

/** Reports the begin and end of keyed calls to the idempotency registry, if the guard has one. */
final class KeyedCalls {

    private final Optional<IdempotencyRegistry> registry;

    KeyedCalls(Optional<IdempotencyRegistry> registry) {
        this.registry = Objects.requireNonNull(registry, "registry");
    }

    /** Returns whether a call is subject to the registry: non-idempotent and with a key. */
    boolean appliesTo(CallFrame frame) {
        return registry.isPresent() && frame.key().isPresent() && !frame.idempotent();
    }

    /** Begins a keyed call; returns its immediate result, or empty if it must run. */
    Optional<FinishedCall> begin(CallDescription call, long nowNanos) {
        KeyDecision decision = registry.orElseThrow().begin(call, nowNanos);
        if (decision.kind() == KeyDecision.Kind.RUN) {
            return Optional.empty();
        }
        return Optional.of(
                decision.answer()
                        .map(FinishedCall::answered)
                        .orElseGet(() -> FinishedCall.notRun(decision.refusal().orElseThrow())));
    }

    /** Returns why a keyed call that has begun may no longer start, or empty if it may start. */
    Optional<ErrorCode> startRefusal(CallDescription call, long nowNanos) {
        return registry.orElseThrow().mayStart(call, nowNanos)
                ? Optional.empty()
                : Optional.of(ErrorCode.KEY_NOT_OWNED);
    }

    /** Records the result of a keyed call that has begun. */
    void finish(CallDescription call, FinishedCall finished, long nowNanos) {
        IdempotencyRegistry present = registry.orElseThrow();
        if (finished.answer().isPresent()) {
            present.complete(call, finished.answer().get(), nowNanos);
        } else if (finished.outcome() == Outcome.NOT_RUN) {
            present.release(call);
        } else {
            present.markInDoubt(call, nowNanos);
        }
    }
}
