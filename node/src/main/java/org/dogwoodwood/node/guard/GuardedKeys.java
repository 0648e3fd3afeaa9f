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

/** Keeps the registry of keys, if the guard has one, to how keyed calls begin and end. */
final class GuardedKeys {

    private final Optional<IdempotencyRegistry> registry;

    GuardedKeys(Optional<IdempotencyRegistry> registry) {
        this.registry = Objects.requireNonNull(registry, "registry");
    }

    /** Returns whether the registry decides on a call. */
    boolean concern(CallFrame frame) {
        return registry.isPresent() && frame.key().isPresent() && !frame.idempotent();
    }

    /** Begins a keyed call; returns how it ends at once, or empty if it is to run. */
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

    /** Returns why a keyed call that has begun may no longer start, or empty if it may. */
    Optional<ErrorCode> startRefusal(CallDescription call, long nowNanos) {
        return registry.orElseThrow().mayStart(call, nowNanos)
                ? Optional.empty()
                : Optional.of(ErrorCode.KEY_NOT_OWNED);
    }

    /** Takes in how a keyed call that has begun ended. */
    void end(CallDescription call, FinishedCall finished, long nowNanos) {
        IdempotencyRegistry owned = registry.orElseThrow();
        if (finished.answer().isPresent()) {
            owned.complete(call, finished.answer().get(), nowNanos);
        } else if (finished.outcome() == Outcome.NOT_RUN) {
            owned.abandon(call);
        } else {
            owned.leaveInDoubt(call, nowNanos);
        }
    }
}
