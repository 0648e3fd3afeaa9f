package org.dogwoodwood.core.idempotency;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.TargetAnswer;

/**
 * The decision of a key's owner about a call with that key.
 *
 * @param kind what to do with the call
 * @param answer the stored answer; present if and only if {@code kind} is {@link Kind#REPLAY}
 * @param refusal the reason for refusing the call; present if and only if {@code kind} is {@link
 *     Kind#REFUSE}
 */
public record KeyDecision(Kind kind, Optional<TargetAnswer> answer, Optional<ErrorCode> refusal) {

    /** What to do with a call that carries a key. */
    public enum Kind {
        RUN,
        REPLAY,
        REFUSE
    }

    /** Checks that the references are present. */
    public KeyDecision {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(answer, "answer");
        Objects.requireNonNull(refusal, "refusal");
    }

    /** Returns the decision to run a call, as the first with its key. */
    public static KeyDecision run() {
        return new KeyDecision(Kind.RUN, Optional.empty(), Optional.empty());
    }

    /** Returns the decision to replay the answer of the first call with the key. */
    public static KeyDecision replay(TargetAnswer answer) {
        return new KeyDecision(Kind.REPLAY, Optional.of(answer), Optional.empty());
    }

    /** Returns the decision to refuse a call, which did not run. */
    public static KeyDecision refuse(ErrorCode code) {
        return new KeyDecision(Kind.REFUSE, Optional.empty(), Optional.of(code));
    }
}
