package org.dogwoodwood.faults.simulation;

/** A point in the life of a node, a call or a configuration at which a fault can strike. */
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

    /** Returns the name in the documentation and the feature files. */
    public String text() {
        return text;
    }

    /** Returns whether the step belongs to a call. */
    public boolean isCallStep() {
        return callStep;
    }
}
