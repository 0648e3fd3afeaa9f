package org.dogwoodwood.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.dogwoodwood.codec.wire.AnswerFrame;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.CancelFrame;
import org.dogwoodwood.codec.wire.HelloFrame;
import org.dogwoodwood.codec.wire.RequestContent;
import org.dogwoodwood.codec.wire.ResumeFrame;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.node.support.RawPeer;
import org.dogwoodwood.node.support.TestInstallation;
import org.dogwoodwood.node.support.TestNode;
import org.dogwoodwood.node.support.TestTarget;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against repeated, late and cut frames from an ingress with which a call runs twice, gets
 * the answer to another call, or is reported as not run although it has run.
 */
class RepeatedFrameTests {

    private static final int REMAINING_MILLIS = 5_000;
    private static final int SLOW_MILLIS = 250;

    private final TestInstallation installation = new TestInstallation();
    private TestTarget target;
    private TestNode guard;
    private RawPeer first;
    private RawPeer second;

    @BeforeEach
    void start() {
        target = installation.startTarget();
        target.setSlowMillis(SLOW_MILLIS);
        guard = installation.startGuard("guard", target);
        installation.setRoutes(guard);
        first = connect();
        second = connect();
    }

    @AfterEach
    void close() {
        installation.close();
    }

    @Test
    void repeatedCallRunsOnce() {
        first.send(call(1, "/slow"), call(1, "/slow"));
        first.flush(1);
        second.send(call(1, "/slow"));
        Waiting.until("the call is answered", () -> !first.answers().isEmpty());
        second.send(call(1, "/slow"));
        Waiting.until("the answer is repeated", () -> !second.answers().isEmpty());
        first.flush(2);

        assertThat(outcomes(first)).containsExactly("1 ANSWERED slow");
        assertThat(outcomes(second)).containsExactly("1 ANSWERED slow");
        assertThat(target.started()).isEqualTo(1);
    }

    @Test
    void callBehindItsCancelOrResumeDoesNotRun() {
        second.send(CancelFrame.of(id(1)), resume(2));
        second.flush(1);
        first.send(call(1, "/echo"), call(2, "/echo"));
        first.flush(1);

        assertThat(outcomes(first)).containsExactly("1 NOT_RUN CANCELLED", "2 NOT_RUN CANCELLED");
        assertThat(outcomes(second)).containsExactly("2 NOT_RUN CANCELLED");
        assertThat(target.started()).isZero();
    }

    @Test
    void resumedCallsGetTheirOwnAnswers() {
        first.send(call(1, "/slow"), call(2, "/echo"), call(3, "/echo"), call(4, "/never"));
        Waiting.until("short calls are answered", () -> first.answers().size() == 2);
        first.close();
        second.send(resume(3), resume(1), resume(2), resume(1), resume(5));
        Waiting.until("all calls are answered", () -> second.answers().size() == 4);
        second.flush(1);

        assertThat(new TreeSet<>(outcomes(second)))
                .containsExactly(
                        "1 ANSWERED slow",
                        "2 ANSWERED body-2",
                        "3 ANSWERED body-3",
                        "5 NOT_RUN CANCELLED");
        assertThat(target.started()).isEqualTo(4);
    }

    @Test
    void resumeAtAnotherIncarnationIsUnknown() {
        first.send(call(1, "/echo"));
        Waiting.until("the call is answered", () -> !first.answers().isEmpty());
        second.send(ResumeFrame.of(id(1), incarnation() + 1), ResumeFrame.of(id(2), 0));
        second.flush(1);

        assertThat(outcomes(second))
                .containsExactly("1 UNKNOWN OUTCOME_UNKNOWN", "2 UNKNOWN OUTCOME_UNKNOWN");
    }

    @Test
    void cancelledCallIsNeverReportedAsNotRunOnceItHasStarted() {
        first.send(call(1, "/never"));
        Waiting.until("the call runs", () -> target.started() == 1);
        second.send(CancelFrame.of(id(1)), CancelFrame.of(id(1)), resume(1), call(1, "/echo"));
        second.flush(1);

        assertThat(outcomes(first)).containsExactly("1 UNKNOWN OUTCOME_UNKNOWN");
        assertThat(outcomes(second))
                .containsExactly("1 UNKNOWN OUTCOME_UNKNOWN", "1 UNKNOWN OUTCOME_UNKNOWN");
        assertThat(target.started()).isEqualTo(1);
    }

    @Test
    void cancelAfterTheAnswerKeepsTheAnswer() {
        first.send(call(1, "/echo"));
        Waiting.until("the call is answered", () -> !first.answers().isEmpty());
        first.send(CancelFrame.of(id(1)));
        second.send(CancelFrame.of(id(1)), resume(1));
        second.flush(1);

        assertThat(outcomes(second)).containsExactly("1 ANSWERED body-1");
    }

    @Test
    void callsOfARestartedIngressGetTheirOwnAnswers() {
        AttemptId later = AttemptId.of(CallId.of(NodeId.of("raw"), 2, 1), 0);
        first.send(call(1, "/echo"));
        Waiting.until("the call is answered", () -> !first.answers().isEmpty());
        second.send(call(later, "/echo", "later"));
        Waiting.until("the call is answered", () -> !second.answers().isEmpty());

        assertThat(outcomes(second)).containsExactly("1 ANSWERED later");
        assertThat(target.started()).isEqualTo(2);
    }

    @Test
    void callThatIsCutInTheMiddleDoesNotRun() {
        first.sendHalf(call(1, "/echo"));
        second.send(call(2, "/echo"), resume(1));
        Waiting.until("both are answered", () -> second.answers().size() == 2);

        assertThat(new TreeSet<>(outcomes(second)))
                .containsExactly("1 NOT_RUN CANCELLED", "2 ANSWERED body-2");
        assertThat(target.started()).isEqualTo(1);
    }

    /** Guards against a connection whose peer changes its identity. */
    @Test
    void secondHelloClosesTheConnection() {
        first.send(HelloFrame.of(NodeId.of("other"), 2, Optional.empty()), call(1, "/echo"));

        Waiting.until("the connection is closed", first::isClosed);
        assertThat(target.started()).isZero();
    }

    private RawPeer connect() {
        return RawPeer.connect(installation.vertx(), guard.peerAddress());
    }

    private long incarnation() {
        return guard.node().identity().incarnation();
    }

    private ResumeFrame resume(int number) {
        return ResumeFrame.of(id(number), incarnation());
    }

    private CallFrame call(int number, String path) {
        return call(id(number), path, "body-" + number);
    }

    private CallFrame call(AttemptId id, String path, String body) {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        return new CallFrame(
                id,
                incarnation(),
                TestInstallation.SERVICE,
                "default",
                RequestContent.of("POST", path, List.of(), content),
                REMAINING_MILLIS,
                REMAINING_MILLIS,
                false,
                Optional.empty(),
                0,
                1,
                true);
    }

    private static AttemptId id(int number) {
        return AttemptId.of(CallId.of(NodeId.of("raw"), 1, number), 0);
    }

    private static List<String> outcomes(RawPeer peer) {
        return peer.answers().stream().map(RepeatedFrameTests::describe).toList();
    }

    private static String describe(AnswerFrame frame) {
        String detail =
                frame.finished()
                        .answer()
                        .map(answer -> new String(answer.body(), StandardCharsets.UTF_8))
                        .orElseGet(() -> frame.finished().error().orElseThrow().name());
        return frame.id().call().counter() + " " + frame.finished().outcome() + " " + detail;
    }
}
