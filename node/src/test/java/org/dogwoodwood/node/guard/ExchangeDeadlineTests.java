package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.List;
import java.util.Optional;
import org.dogwoodwood.codec.wire.AnswerFrame;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.CancelFrame;
import org.dogwoodwood.codec.wire.Frame;
import org.dogwoodwood.codec.wire.FrameDecoder;
import org.dogwoodwood.codec.wire.FrameEncoder;
import org.dogwoodwood.codec.wire.HelloFrame;
import org.dogwoodwood.codec.wire.RequestContent;
import org.dogwoodwood.codec.wire.WireLimits;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.node.support.TestInstallation;
import org.dogwoodwood.node.support.TestNode;
import org.dogwoodwood.node.support.TestTarget;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a guard that ends a running call although the ingress still waits for it. */
class ExchangeDeadlineTests {

    private static final int REMAINING_MILLIS = 300;
    private static final AttemptId ID = AttemptId.of(CallId.of(NodeId.of("raw"), 1, 1), 0);

    private final TestInstallation installation = new TestInstallation();
    private final Promise<FinishedCall> answer = Promise.promise();
    private TestTarget target;
    private TestNode guard;
    private NetSocket socket;

    @BeforeEach
    void start() {
        target = installation.startTarget();
        guard = installation.startGuard("guard", target);
        installation.setRoutes(guard);
        socket = connect();
    }

    @AfterEach
    void close() {
        installation.close();
    }

    /**
     * Guards against callers that get an error a few milliseconds before their deadline while the
     * call runs: the remaining time in the call frame is shorter than the time that the caller
     * waits.
     */
    @Test
    void keepsCallRunningAfterItsRemainingTimeHasPassed() {
        target.setSlowMillis(REMAINING_MILLIS + 50);
        call("/slow");

        assertThat(Waiting.get(answer.future()).answer())
                .hasValueSatisfying(found -> assertThat(found.status()).isEqualTo(200));
    }

    /** Guards against calls that run without end after their ingress has failed. */
    @Test
    void endsCallThatTheIngressDoesNotCancel() {
        call("/never");

        assertThat(Waiting.get(answer.future()).error()).hasValue(ErrorCode.DEADLINE_EXCEEDED);
        Waiting.until("the exchange is closed", () -> target.aborted() == 1);
    }

    /** Guards against a hanging target whose calls are not counted as failures. */
    @Test
    void countsCallCancelledAtItsDeadlineAsFailure() {
        call("/never");
        Waiting.until("the call runs", () -> target.started() == 1);
        Waiting.sleep(REMAINING_MILLIS + 20);
        send(CancelFrame.of(ID));

        assertThat(Waiting.get(answer.future()).error()).hasValue(ErrorCode.DEADLINE_EXCEEDED);
        assertThat(guard.node().metrics().prometheusText()).contains("DEADLINE_EXCEEDED");
    }

    private void call(String path) {
        send(
                new CallFrame(
                        ID,
                        guard.node().identity().incarnation(),
                        TestInstallation.SERVICE,
                        "default",
                        RequestContent.of("GET", path, List.of(), new byte[0]),
                        REMAINING_MILLIS,
                        REMAINING_MILLIS,
                        true,
                        Optional.empty(),
                        0,
                        1,
                        true));
    }

    private NetSocket connect() {
        NetSocket opened =
                Waiting.get(
                        installation
                                .vertx()
                                .createNetClient()
                                .connect(guard.peerAddress().port(), guard.peerAddress().host()));
        RecordParser parser = RecordParser.newFixed(WireLimits.PREFIX_BYTES);
        boolean[] prefix = {true};
        parser.handler(
                record -> {
                    if (prefix[0]) {
                        parser.fixedSizeMode(record.getInt(0));
                    } else {
                        parser.fixedSizeMode(WireLimits.PREFIX_BYTES);
                        onFrame(FrameDecoder.decode(record.getBytes()));
                    }
                    prefix[0] = !prefix[0];
                });
        opened.handler(parser);
        opened.write(encode(HelloFrame.of(NodeId.of("raw"), 1, Optional.empty())));
        return opened;
    }

    private void onFrame(Frame frame) {
        if (frame instanceof AnswerFrame found) {
            answer.tryComplete(found.finished());
        }
    }

    private void send(Frame frame) {
        socket.write(encode(frame));
    }

    private static Buffer encode(Frame frame) {
        return Buffer.buffer(FrameEncoder.encode(frame));
    }
}
