package org.dogwoodwood.faults.matrix;

import java.util.Arrays;
import java.util.Optional;

/** A fault that can be injected at a step. */
public enum Fault {
    SUDDEN_SLOWDOWN("sudden slowdown"),
    DRAIN("drain"),
    FAST_FAILURE("fast failure"),
    COLD_AGAIN("cold again without warning"),
    TARGET_CRASH("target crash"),
    NODE_CRASH("node crash"),
    VM_LOST("VM lost"),
    INGRESS_CRASH("ingress crash"),
    NODE_PAUSED("node paused past its lease"),
    LOG_DOWN("log down"),
    LOG_SLOW("log slow"),
    LOG_RESPONSE_LOST("log answer lost after effect"),
    LOG_EXPIRED("log records expired"),
    RACING_EDITS("racing edits"),
    SILENT_ONE_WAY("connection silent in one direction"),
    SILENT_BOTH_WAYS("connection silent in both directions"),
    ANSWER_LATE("answer late"),
    ANSWER_OUT_OF_ORDER("answer out of order"),
    ANSWER_DUPLICATED("answer duplicated"),
    MESSAGE_LOST("message lost"),
    CRASHING_REQUEST("crashing request sent again"),
    DATA_CENTRE_OUT("data centre out"),
    PARTITION("partition between data centres"),
    LYING_REPORTS("lying health or load reports");

    private final String label;

    Fault(String label) {
        this.label = label;
    }

    /** Returns the label used in the documentation and the feature file. */
    public String label() {
        return label;
    }

    /** Returns the fault with the given label, or empty if there is none. */
    public static Optional<Fault> fromLabel(String label) {
        return Arrays.stream(values()).filter(fault -> fault.label.equals(label)).findFirst();
    }
}
