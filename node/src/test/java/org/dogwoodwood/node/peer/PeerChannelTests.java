package org.dogwoodwood.node.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwood.codec.wire.AnswerFrame;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.Frame;
import org.dogwoodwood.codec.wire.FrameDecoder;
import org.dogwoodwood.codec.wire.FrameEncoder;
import org.dogwoodwood.codec.wire.HelloFrame;
import org.dogwoodwood.codec.wire.RequestContent;
import org.dogwoodwood.codec.wire.ResumeFrame;
import org.dogwoodwood.codec.wire.WireLimits;
import org.dogwoodwood.core.calls.AttemptId;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.CallId;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.core.model.TargetAnswer;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.core.routing.RouteTarget;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.memory.BodyMemory;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against answers that are cut off or late and attempts that are cancelled meanwhile. */
class PeerChannelTests {

    private static final int MEMORY_BYTES = 32 << 20;

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final PeerPool pool =
            PeerPool.create(
                    vertx,
                    context,
                    new PeerIdentity(NodeId.of("in"), 1, Optional.empty()),
                    PeerTimings.DEFAULT,
                    BodyMemory.of(MEMORY_BYTES),
                    EventLog.create());
    private final AtomicInteger connections = new AtomicInteger();
    private final List<String> received = new CopyOnWriteArrayList<>();
    private RouteTarget target;

    /** Plays a guard. */
    private interface Script {
        void onFrame(int connection, NetSocket socket, Frame frame);
    }

    @AfterEach
    void stop() {
        Waiting.get(vertx.close());
    }

    @Test
    void answerThatIsCutOffIsResumed() {
        startGuard(
                (connection, socket, frame) -> {
                    if (frame instanceof HelloFrame) {
                        sayHello(socket, 1);
                    } else if (frame instanceof CallFrame call) {
                        Buffer answer = answer(call.id(), "whole");
                        socket.write(answer.slice(0, answer.length() - 3));
                        socket.close();
                    } else if (frame instanceof ResumeFrame resume) {
                        socket.write(answer(resume.id(), "whole"));
                    }
                });

        assertThat(body(Waiting.get(send(1)))).isEqualTo("whole");
        assertThat(connections).hasValue(2);
    }

    @Test
    void lateAnswerToACancelledAttemptReachesNoOther() {
        startGuard(
                (connection, socket, frame) -> {
                    if (frame instanceof HelloFrame) {
                        sayHello(socket, 1);
                    } else if (frame instanceof CallFrame call && call.id().equals(id(2))) {
                        socket.write(answer(id(1), "one").appendBuffer(answer(id(1), "again")));
                        socket.write(answer(id(2), "two"));
                    }
                });
        Future<AttemptAnswer> first = send(1);
        Waiting.until("the first call is written", () -> received.contains("CallFrame 1"));
        context.runOnContext(ignored -> pool.cancel(target, id(1)));

        assertThat(body(Waiting.get(send(2)))).isEqualTo("two");
        assertThat(first.isComplete()).isFalse();
    }

    /**
     * Guards against a cancelled attempt that runs: it was to be written on the next connection,
     * and was cancelled when that connection showed that the guard had restarted.
     */
    @Test
    void attemptCancelledDuringTheReconnectIsNotWritten() {
        Promise<Void> closed = Promise.promise();
        startGuard(
                (connection, socket, frame) -> {
                    if (frame instanceof HelloFrame && connection == 2) {
                        closed.complete();
                        vertx.setTimer(50, ignored -> sayHello(socket, 2));
                    } else if (frame instanceof HelloFrame) {
                        sayHello(socket, 1);
                    } else if (frame instanceof CallFrame call && call.id().equals(id(1))) {
                        socket.close();
                    } else if (frame instanceof CallFrame call) {
                        socket.write(answer(call.id(), "run"));
                    }
                });
        Future<AttemptAnswer> first = send(1);
        first.onComplete(ignored -> pool.cancel(target, id(2)));
        Waiting.get(closed.future());
        send(2);

        assertThat(Waiting.get(first).finished().outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(body(Waiting.get(send(3)))).isEqualTo("run");
        assertThat(received).doesNotContain("CallFrame 2");
    }

    private void startGuard(Script script) {
        int port =
                Waiting.get(
                                vertx.createNetServer()
                                        .connectHandler(socket -> serve(socket, script))
                                        .listen(0, "127.0.0.1"))
                        .actualPort();
        target =
                new RouteTarget(
                        NodeId.of("guard"),
                        1,
                        "shop",
                        "north",
                        "127.0.0.1",
                        port,
                        TargetState.WARM,
                        0,
                        false,
                        false);
    }

    private void serve(NetSocket socket, Script script) {
        int connection = connections.incrementAndGet();
        RecordParser parser = RecordParser.newFixed(WireLimits.PREFIX_BYTES);
        boolean[] prefix = {true};
        parser.handler(
                record -> {
                    parser.fixedSizeMode(prefix[0] ? record.getInt(0) : WireLimits.PREFIX_BYTES);
                    prefix[0] = !prefix[0];
                    if (prefix[0]) {
                        Frame frame = FrameDecoder.decode(record.getBytes());
                        if (frame instanceof CallFrame call) {
                            received.add("CallFrame " + call.id().call().counter());
                        }
                        script.onFrame(connection, socket, frame);
                    }
                });
        socket.handler(parser);
    }

    private Future<AttemptAnswer> send(int number) {
        Promise<AttemptAnswer> answer = Promise.promise();
        context.runOnContext(ignored -> pool.send(target, call(number)).onComplete(answer::handle));
        return answer.future();
    }

    private static void sayHello(NetSocket socket, long incarnation) {
        socket.write(encode(HelloFrame.of(NodeId.of("guard"), incarnation, Optional.empty())));
    }

    private static Buffer answer(AttemptId id, String body) {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        FinishedCall finished = FinishedCall.answered(TargetAnswer.of(200, List.of(), content));
        return encode(AnswerFrame.of(id, finished, Optional.empty()));
    }

    private static String body(AttemptAnswer answer) {
        byte[] body = answer.finished().answer().orElseThrow().body();
        return new String(body, StandardCharsets.UTF_8);
    }

    private static AttemptId id(int number) {
        return AttemptId.of(CallId.of(NodeId.of("in"), 1, number), 0);
    }

    private static CallFrame call(int number) {
        return new CallFrame(
                id(number),
                1,
                "shop",
                "default",
                RequestContent.of("POST", "/", List.of(), new byte[0]),
                5_000,
                5_000,
                false,
                Optional.empty(),
                0,
                1,
                true);
    }

    private static Buffer encode(Frame frame) {
        return Buffer.buffer(FrameEncoder.encode(frame));
    }
}
