package org.dogwoodwood.core.membership;

import java.util.Arrays;
import java.util.Optional;

/** The liveness of a member as observed by others; later constants take precedence over earlier. */
public enum Liveness {
    ALIVE(0, Optional.empty()),
    SUSPECT(1, Optional.of(MemberState.SUSPECT)),
    DEAD(2, Optional.of(MemberState.DEAD));

    private final int code;
    private final Optional<MemberState> observedState;

    Liveness(int code, Optional<MemberState> observedState) {
        this.code = code;
        this.observedState = observedState;
    }

    /** Returns the constant with the given code, or empty if there is none. */
    public static Optional<Liveness> fromCode(int code) {
        return Arrays.stream(values()).filter(liveness -> liveness.code == code).findFirst();
    }

    /** Returns the code that represents the constant in messages. */
    public int code() {
        return code;
    }

    /** Returns the state that overrides the declared one, or empty if the member is alive. */
    public Optional<MemberState> observedState() {
        return observedState;
    }
}
