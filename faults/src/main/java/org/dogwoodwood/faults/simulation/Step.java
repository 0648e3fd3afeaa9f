package org.dogwoodwood.faults.simulation;

/**
 * A step in the life cycle of a node, a call or a configuration at which a fault can be injected.
 */
public enum Step {
    ANNOUNCING("announcing", false),
    JOINING("joining", false),
    CHOOSING("choosing", true),
    SENDING("sending", true),
    QUEUED("queued at the guard", true),
    STARTED("started at the target", true),
    ANSWERING("answer under way", true),
    FINISHED("finished", true),
    LEAVING("leaving", false),
    PUBLISHING("publishing", false),
    APPLYING("applying a configuration", false),
    RESTARTING("restarting", false);

    private final String label;
    private final boolean callStep;

    Step(String label, boolean ofCall) {
        this.label = label;
        this.callStep = ofCall;
    }

    /** Returns the label used in the documentation and the feature file. */
    public String label() {
        return label;
    }

    /** Returns whether the step is part of a call. */
    public boolean isCallStep() {
        return callStep;
    }
}
