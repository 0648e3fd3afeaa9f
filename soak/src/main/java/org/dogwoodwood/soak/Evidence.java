package org.dogwoodwood.soak;

import java.util.ArrayList;
import java.util.List;

/** What the clients of a soak have seen. */
final class Evidence {

    private final Counts counts;
    private final AnswerLog log;
    private final List<ReceivedAnswer> answers = new ArrayList<>();
    private final List<Violation> violations = new ArrayList<>();

    Evidence(Counts counts, AnswerLog log) {
        this.counts = counts;
        this.log = log;
    }

    Counts counts() {
        return counts;
    }

    synchronized void add(ReceivedAnswer answer) {
        answers.add(answer);
        counts.add("client: " + (answer.unsafe() ? "unsafe " : "safe ") + answer.status());
    }

    /** Counts requests that a client sends again with their ids, as it takes them as unread. */
    void addSentAgain(List<ClientRequest> requests) {
        for (ClientRequest request : requests) {
            boolean arrived = log.hasArrived(request.id());
            counts.add(
                    "client: unread request sent again, "
                            + (arrived ? "had" : "had not")
                            + " reached a target");
        }
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
