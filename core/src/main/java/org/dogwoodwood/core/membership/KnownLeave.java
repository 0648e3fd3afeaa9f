package org.dogwoodwood.core.membership;

import java.util.Objects;

/**
 * A leave as gossip carries it.
 *
 * @param leave the leave
 * @param ageMillis how long ago it was recorded, in milliseconds; after some time it is forgotten
 *     everywhere, and its age keeps nodes from learning it from each other again
 */
public record KnownLeave(TargetLeave leave, long ageMillis) {

    /** Checks that the leave is present. */
    public KnownLeave {
        Objects.requireNonNull(leave, "leave");
    }
}
