package org.dogwoodwood.codec.wire;

import java.util.Objects;
import org.dogwoodwood.core.calls.AttemptId;

/**
 * Requests from a guard the answer to an attempt that was sent on a connection that broke.
 *
 * @param id the attempt
 * @param guardIncarnation the incarnation of the guard when the CALL frame was sent
 */
public record ResumeFrame(AttemptId id, long guardIncarnation) implements Frame {

    public static final int TYPE = 7;

    /** Checks that the attempt is present. */
    public ResumeFrame {
        Objects.requireNonNull(id, "id");
    }

    /** Returns a request for the answer to the given attempt. */
    public static ResumeFrame of(AttemptId id, long guardIncarnation) {
        return new ResumeFrame(id, guardIncarnation);
    }

    @Override
    public int type() {
        return TYPE;
    }
}
