package org.dogwoodwood.core.calls;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.Objects;
import org.dogwoodwood.core.model.CallId;

/**
 * The identity of one attempt of a call.
 *
 * @param call the call id, the same for all attempts
 * @param attempt the number of the attempt, from 0
 */
public record AttemptId(CallId call, int attempt) {

    /** Checks that the call is not null and the attempt is not negative. */
    public AttemptId {
        Objects.requireNonNull(call, "call");
        checkArgument(attempt >= 0, "An attempt number must not be negative.");
    }

    /** Returns the identity of an attempt. */
    public static AttemptId of(CallId call, int attempt) {
        return new AttemptId(call, attempt);
    }

    @Override
    public String toString() {
        return call + "#" + attempt;
    }
}
