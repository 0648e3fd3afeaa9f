package org.dogwoodwood.soak;

import java.util.ArrayList;
import java.util.List;

/** What the clients of a soak have seen. */
final class Evidence {

    private final Counts counts;
    private final List<ReceivedAnswer> answers = new ArrayList<>();
    private final List<Violation> violations = new ArrayList<>();

    Evidence(Counts counts) {
        this.counts = counts;
    }

    Counts counts() {
        return counts;
    }

    synchronized void add(ReceivedAnswer answer) {
        answers.add(answer);
        counts.add("client: " + (answer.unsafe() ? "unsafe " : "safe ") + answer.status());
    }

    /** Adds a violation that a client saw on its connection. */
    synchronized void add(Violation violation) {
        violations.add(violation);
    }

    synchronized List<ReceivedAnswer> answers() {
        return List.copyOf(answers);
    }

    synchronized List<Violation> violations() {
        return List.copyOf(violations);
    }
}
