package org.dogwoodwood.codec.wire;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwood.core.model.LoadReport;

/**
 * Answers a ping, or reports the load without a preceding ping.
 *
 * @param sequence the sequence number of the ping, or {@link #UNSOLICITED}
 * @param report the load report of the sender's guard, empty if it has no target
 */
public record PongFrame(long sequence, Optional<LoadReport> report) implements Frame {

    public static final int TYPE = 3;

    /** The sequence number of a pong that answers no ping; pings are numbered from 1. */
    public static final long UNSOLICITED = 0;

    /** Checks that the report is not null. */
    public PongFrame {
        Objects.requireNonNull(report, "report");
    }

    /** Returns a pong with the given parts. */
    public static PongFrame of(long sequence, Optional<LoadReport> report) {
        return new PongFrame(sequence, report);
    }

    @Override
    public int type() {
        return TYPE;
    }
}
