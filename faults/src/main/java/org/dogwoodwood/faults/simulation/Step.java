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

    private final String text;
    private final boolean callStep;

    Step(String text, boolean ofCall) {
        this.text = text;
        this.callStep = ofCall;
    }

    /** Returns the label used in the documentation and the feature file. */
    public String text() {
        return text;
    }

    /** Returns whether the step is part of a call. */
    public boolean isCallStep() {
        return callStep;
    }
}
