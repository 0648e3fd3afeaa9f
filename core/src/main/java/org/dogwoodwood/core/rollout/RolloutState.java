package org.dogwoodwood.core.rollout;

/** The state of a roll-out. */
public enum RolloutState {
    /** The new version gets a share of the calls. */
    RUNNING,
    /** All calls go to the new version. */
    SUCCEEDED,
    /** No call goes to the new version. */
    ROLLED_BACK;

    /** Returns whether the roll-out has ended. */
    public boolean isFinal() {
        return this != RUNNING;
    }

    /** Returns the share of the new version, given the share that a running roll-out grants. */
    public double share(double runningShare) {
        return switch (this) {
            case RUNNING -> runningShare;
            case SUCCEEDED -> 1;
            case ROLLED_BACK -> 0;
        };
    }
}
