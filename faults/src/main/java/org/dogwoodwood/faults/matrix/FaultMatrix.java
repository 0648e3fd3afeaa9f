package org.dogwoodwood.faults.matrix;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwood.faults.simulation.Step;

/** Defines which faults can occur at which steps. */
public final class FaultMatrix {

    /** A fault at a step. */
    public record Cell(Fault fault, Step step) {

        @Override
        public String toString() {
            return fault.label() + " at " + step.label();
        }
    }

    private static final Set<Fault> ANSWER_FAULTS =
            EnumSet.of(Fault.ANSWER_LATE, Fault.ANSWER_OUT_OF_ORDER, Fault.ANSWER_DUPLICATED);
    private static final Set<Step> APPENDING_STEPS =
            EnumSet.of(
                    Step.ANNOUNCING, Step.JOINING, Step.LEAVING, Step.PUBLISHING, Step.RESTARTING);

    private FaultMatrix() {}

    /** Returns all cells that are not empty, ordered by fault and then by step. */
    public static List<Cell> cells() {
        List<Cell> cells = new ArrayList<>();
        for (Fault fault : Fault.values()) {
            for (Step step : Step.values()) {
                if (emptyReason(fault, step).isEmpty()) {
                    cells.add(new Cell(fault, step));
                }
            }
        }
        return cells;
    }

    /** Returns the reason why a fault cannot occur at a step, or empty if it can. */
    public static Optional<EmptyReason> emptyReason(Fault fault, Step step) {
        if (ANSWER_FAULTS.contains(fault) && !step.isCallStep()) {
            return Optional.of(EmptyReason.NO_ANSWER);
        }
        if (ANSWER_FAULTS.contains(fault) && step == Step.FINISHED) {
            return fault == Fault.ANSWER_DUPLICATED
                    ? Optional.empty()
                    : Optional.of(EmptyReason.ANSWER_ARRIVED);
        }
        if (fault == Fault.INGRESS_CRASH && !step.isCallStep()) {
            return Optional.of(EmptyReason.NO_INGRESS);
        }
        if (fault == Fault.LOG_RESPONSE_LOST && !APPENDING_STEPS.contains(step)) {
            return Optional.of(EmptyReason.NO_APPEND);
        }
        return Optional.empty();
    }

    /** The reason why a fault cannot occur at a step. */
    public enum EmptyReason {
        NO_ANSWER("a", "The step belongs to no call, so no answer is under way."),
        ANSWER_ARRIVED("b", "The answer has arrived; it can no longer be late or overtaken."),
        NO_INGRESS("c", "No ingress takes part in the step; a crash of the node is `node crash`."),
        NO_APPEND("d", "Nothing is appended to the log at the step.");

        private final String mark;
        private final String text;

        EmptyReason(String mark, String text) {
            this.mark = mark;
            this.text = text;
        }

        /** Returns the mark used in the table of the documentation. */
        public String mark() {
            return mark;
        }

        /** Returns the explanation used in the documentation. */
        public String text() {
            return text;
        }
    }
}
