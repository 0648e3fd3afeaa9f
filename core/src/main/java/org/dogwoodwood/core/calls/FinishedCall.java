package org.dogwoodwood.core.calls;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.core.model.TargetAnswer;

/**
 * The result of an attempt of a call.
 *
 * @param outcome the known effect of the attempt
 * @param answer the target's answer; present if and only if {@code outcome} is {@link
 *     Outcome#ANSWERED}
 * @param error why there is no answer; present if and only if {@code answer} is empty
 */
public record FinishedCall(
        Outcome outcome, Optional<TargetAnswer> answer, Optional<ErrorCode> error) {

    // Estimated size of the objects that hold a retained answer and its id, in bytes.
    private static final int FIXED_BYTES = 256;

    /** Checks that the parts match the outcome. */
    public FinishedCall {
        Objects.requireNonNull(outcome, "outcome");
        checkArgument(
                answer.isPresent() == (outcome == Outcome.ANSWERED),
                "A call must have an answer if and only if its outcome is ANSWERED.");
        checkArgument(
                error.isPresent() != answer.isPresent(),
                "A call must have exactly one of an answer and an error code.");
    }

    /** Returns the result of an attempt that the target answered. */
    public static FinishedCall answered(TargetAnswer answer) {
        return new FinishedCall(Outcome.ANSWERED, Optional.of(answer), Optional.empty());
    }

    /** Returns the result of an attempt that was certainly not run. */
    public static FinishedCall notRun(ErrorCode code) {
        return new FinishedCall(Outcome.NOT_RUN, Optional.empty(), Optional.of(code));
    }

    /** Returns the result of an attempt that may have been run. */
    public static FinishedCall unknown(ErrorCode code) {
        return new FinishedCall(Outcome.UNKNOWN, Optional.empty(), Optional.of(code));
    }

    /** Returns the approximate memory use of this object, in bytes. */
    public long approximateBytes() {
        long bytes = FIXED_BYTES;
        if (answer.isPresent()) {
            bytes += answer.get().body().length;
            for (HeaderField header : answer.get().headers()) {
                bytes += header.name().length() + header.value().length();
            }
        }
        return bytes;
    }
}
