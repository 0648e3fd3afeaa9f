package org.dogwoodwood.core.admission;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.ErrorCode;

/**
 * The decision about an offered call.
 *
 * @param kind what to do with the call
 * @param refusal why the call is refused; present if and only if {@code kind} is {@link
 *     Kind#REFUSE}
 */
public record AdmissionDecision(Kind kind, Optional<ErrorCode> refusal) {

    private static final AdmissionDecision START =
            new AdmissionDecision(Kind.START, Optional.empty());
    private static final AdmissionDecision QUEUE =
            new AdmissionDecision(Kind.QUEUE, Optional.empty());

    /** What to do with an offered call. */
    public enum Kind {
        START,
        QUEUE,
        REFUSE
    }

    /** Checks that no reference is null. */
    public AdmissionDecision {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(refusal, "refusal");
    }

    /** Returns the decision to start the call now; it counts as in flight. */
    public static AdmissionDecision start() {
        return START;
    }

    /** Returns the decision to keep the call in the queue. */
    public static AdmissionDecision queue() {
        return QUEUE;
    }

    /** Returns the decision to refuse the call without running it. */
    public static AdmissionDecision refuse(ErrorCode code) {
        return new AdmissionDecision(Kind.REFUSE, Optional.of(code));
    }
}
