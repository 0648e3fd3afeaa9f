package org.dogwoodwood.codec.wire;

import java.util.Objects;
import org.dogwoodwood.core.calls.AttemptId;

/**
 * Cancels an attempt at a guard, since its answer is no longer needed.
 *
 * @param id the attempt
 */
public record CancelFrame(AttemptId id) implements Frame {

    public static final int TYPE = 6;

    /** Checks that the attempt is present. */
    public CancelFrame {
        Objects.requireNonNull(id, "id");
    }

    /** Returns a cancellation of the given attempt. */
    public static CancelFrame of(AttemptId id) {
        return new CancelFrame(id);
    }

    @Override
    public int type() {
        return TYPE;
    }
}
