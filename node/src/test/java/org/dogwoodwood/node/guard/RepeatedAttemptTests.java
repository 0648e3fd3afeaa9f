package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.node.guard.IdentifyingProtocol.REJECTED;
import static org.dogwoodwood.node.guard.IdentifyingProtocol.REQUEST_ID;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.node.support.ScriptedTarget;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a late second copy of an answer to one attempt of a call that is taken for the
 * answer to its next attempt at the same target. Both have the same request id.
 *
 * <p>If the copy is a rejection, the call is refused as not run although it has run. If it is an
 * error, it hides a success; if it is a success, it hides an error.
 */
class RepeatedAttemptTests {

    private final Vertx vertx = Vertx.vertx();
    private final List<String> arrivals = new CopyOnWriteArrayList<>();
    private ScriptedTarget target;

    @AfterEach
    void stop() {
        Waiting.get(vertx.close());
        target.close();
    }

    /** How the target answers the first attempt of a call. */
    enum FirstAnswer {
        REJECTION("503 Service Unavailable\r\n" + REJECTED + ": 1", TargetResult.Kind.REFUSED),
        ERROR("500 Internal Server Error", TargetResult.Kind.ANSWERED),
        SUCCESS("200 OK", TargetResult.Kind.ANSWERED);

        private final String head;
        private final TargetResult.Kind kind;

        FirstAnswer(String head, TargetResult.Kind kind) {
            this.head = head;
            this.kind = kind;
        }
    }

    @ParameterizedTest
    @EnumSource
    void aTargetGetsNoSecondAttemptOfACall(FirstAnswer first) {
        target = ScriptedTarget.start(lines -> List.of(answer(lines, first)));
        TargetCalls calls = TargetCalls.to(target.address(), vertx);

        assertThat(calls.send("GET", "call-1").kind()).isEqualTo(first.kind);
        FinishedCall second = calls.send("GET", "call-1").finished();
        assertThat(second.outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(second.error()).contains(ErrorCode.REQUEST_REPEATED);
        assertThat(arrivals).containsExactly(REQUEST_ID + ": call-1");

        // The connection that was chosen for the second attempt is used again.
        assertThat(calls.send("GET", "call-2").kind()).isEqualTo(first.kind);
        assertThat(target.connections()).isEqualTo(1);
    }

    private String answer(List<String> lines, FirstAnswer first) {
        String id = lines.stream().filter(line -> line.startsWith(REQUEST_ID)).findFirst().get();
        arrivals.add(id);
        return "HTTP/1.1 " + first.head + "\r\n" + id + "\r\nContent-Length: 0\r\n\r\n";
    }
}
