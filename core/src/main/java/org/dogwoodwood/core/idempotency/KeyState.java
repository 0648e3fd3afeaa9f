package org.dogwoodwood.core.idempotency;

/** The state of the call with a key. */
public enum KeyState {
    /** The call was accepted and has not ended. */
    RUNNING(1),
    /** The target answered; the answer may have been dropped to limit memory. */
    ANSWERED(2),
    /** The outcome is unknown; the call may have run. */
    IN_DOUBT(3),
    /** The call certainly did not run, so that the key can be used again. */
    RELEASED(4);

    private final int code;

    KeyState(int code) {
        this.code = code;
    }

    /** Returns the code of this state in frames. */
    public int code() {
        return code;
    }

    /**
     * Returns the state with the given code.
     *
     * @throws IllegalArgumentException if no state has the code
     */
    public static KeyState fromCode(int code) {
        for (KeyState state : values()) {
            if (state.code == code) {
                return state;
            }
        }
        throw new IllegalArgumentException("Unknown key state " + code + ".");
    }
}
