package org.dogwoodwood.node.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.dogwoodwood.codec.wire.AnswerFrame;
import org.dogwoodwood.codec.wire.CallFrame;
import org.dogwoodwood.codec.wire.ControlFrame;
import org.dogwoodwood.codec.wire.Frame;
import org.dogwoodwood.codec.wire.FrameDecoder;
import org.dogwoodwood.codec.wire.FrameEncoder;
import org.dogwoodwood.codec.wire.HelloFrame;
import org.dogwoodwood.codec.wire.PingFrame;
import org.dogwoodwood.codec.wire.PongFrame;
import org.dogwoodwood.core.calls.FinishedCall;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetAnswer;
import org.dogwoodwood.core.model.TargetState;
import org.dogwoodwood.core.routing.RouteTarget;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.memory.BodyMemory;
import org.dogwoodwood.node.settings.Endpoint;
import org.dogwoodwood.node.support.TestInstallation;
import org.dogwoodwood.node.support.TestNode;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against peers that violate the protocol and answers assigned to the wrong call. */
class PeerProtocolTests {

    // Below the timeout for HELLO.
    private static final long SLOW_CONNECT_MILLIS = 300;

    private final TestInstallation installation = new TestInstallation();

    @AfterEach
    void close() {
        installation.close();
    }

    @Test
    void matchesLateDuplicateAndReorderedAnswers() {
        TestNode ingress = installation.startIngress("ingress");
        List<CallFrame> calls = Collections.synchronizedList(new ArrayList<>());
        Endpoint fake =
                fakeGuard(
                        (socket, call) -> {
                            calls.add(call);
                            if (calls.size() == 4) {
                                Collections.reverse(calls);
                                calls.forEach(c -> answerTwice(socket, c));
                            }
                        });
        installation.setRoutes(route(fake));

        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            HttpRequest.BodyPublisher body = HttpRequest.BodyPublishers.ofString("body-" + i);
            HttpRequest request = TestInstallation.request(ingress, "/echo").POST(body).build();
            answers.add(
                    installation.caller().sendAsync(request, HttpResponse.BodyHandlers.ofString()));
        }

        for (int i = 0; i < 4; i++) {
            assertThat(answers.get(i).join().body()).isEqualTo("body-" + i);
        }
        Waiting.until(
                "the second answers are counted as late",
                () ->
                        ingress.node()
                                .metrics()
                                .prometheusText()
                                .contains("dogwoodwood_late_answers_total 4"));
    }

    /** Guards against callers that get no response when the answer is invalid in HTTP. */
    @Test
    void reportsAnswerThatHttpDoesNotAllow() {
        TestNode ingress = installation.startIngress("ingress");
        List<HeaderField> headers = List.of(HeaderField.of("X-Invalid", "a\nb"));
        TargetAnswer invalid = TargetAnswer.of(200, headers, new byte[1]);
        Endpoint fake =
                fakeGuard(
                        (socket, call) -> {
                            FinishedCall finished = FinishedCall.answered(invalid);
                            socket.write(
                                    encode(AnswerFrame.of(call.id(), finished, Optional.empty())));
                        });
        installation.setRoutes(route(fake));

        HttpResponse<String> answered = installation.get(ingress, "/echo");

        assertThat(answered.statusCode()).isEqualTo(502);
        assertThat(answered.headers().firstValue("X-Invalid")).isEmpty();
        assertThat(answered.headers().firstValue("Dogwoodwood-Outcome")).hasValue("unknown");
    }

    @Test
    void closesConnectionsThatSendMalformedFramesAndServesOthers() {
        TestNode guard = installation.startGuard("guard", installation.startTarget());
        TestNode ingress = installation.startIngress("ingress");
        installation.setRoutes(guard);
        Buffer hello = encode(HelloFrame.of(NodeId.of("x"), 1, Optional.empty()));
        List<Buffer> invalidInputs =
                List.of(
                        Buffer.buffer(new byte[] {0, 0, 0, 1, 0}),
                        Buffer.buffer(new byte[] {0x7f, -1, -1, -1, 0}),
                        Buffer.buffer("GET / HTTP/1.1\r\n\r\n"),
                        encode(PingFrame.of(1)),
                        Buffer.buffer().appendBuffer(hello).appendInt(1).appendByte((byte) 0xc1),
                        Buffer.buffer()
                                .appendBuffer(hello)
                                .appendBuffer(encode(ControlFrame.of(9, new byte[1]))));
        for (Buffer input : invalidInputs) {
            AtomicBoolean closed = new AtomicBoolean();
            NetSocket socket = connect(guard.peerAddress());
            socket.handler(ignored -> {});
            socket.closeHandler(ignored -> closed.set(true));
            socket.write(input);
            Waiting.until("the connection is closed", closed::get);
        }

        assertThat(installation.post(ingress, "/echo", "x").statusCode()).isEqualTo(200);
    }

    /**
     * Guards against idle connections that cost as much as busy ones: with many nodes, most
     * connections are idle.
     */
    @Test
    void pingsAnIdleConnectionLessOftenThanABusyOne() {
        AtomicInteger pings = new AtomicInteger();
        Endpoint fake = fakeGuard((socket, call) -> answerTwice(socket, call), pings);
        TestNode ingress = installation.startIngress("ingress");
        installation.setRoutes(route(fake));
        installation.post(ingress, "/echo", "x");
        int first = pings.get();
        Waiting.sleep(4_300);

        assertThat(pings.get() - first).isBetween(1, 3);
    }

    /** Guards against a guard that runs a call past its deadline after a slow connect. */
    @Test
    void deductsConnectTimeFromCallDeadline() {
        AtomicLong remainingMillis = new AtomicLong();
        Endpoint fake =
                fakeGuard(
                        (socket, call) -> {
                            remainingMillis.set(call.remainingMillis());
                            answerTwice(socket, call);
                        });
        Endpoint slow = delayingProxy(SLOW_CONNECT_MILLIS, fake);
        TestNode ingress = installation.startIngress("ingress");
        installation.setRoutes(route(slow));

        // The timeout of the service is 2 s.
        assertThat(installation.post(ingress, "/echo", "x").statusCode()).isEqualTo(200);
        assertThat(remainingMillis.get()).isBetween(1L, 2_000L - SLOW_CONNECT_MILLIS);
    }

    @Test
    void refusesPeersWithoutTheSharedSecret() {
        installation.setSecret("right");
        TestNode guard = installation.startGuard("guard", installation.startTarget());
        TestNode ingress = installation.startIngress("ingress");
        installation.setRoutes(guard);
        assertThat(installation.post(ingress, "/echo", "x").statusCode()).isEqualTo(200);

        for (Optional<String> secret : List.of(Optional.<String>empty(), Optional.of("wrong"))) {
            AtomicBoolean closed = new AtomicBoolean();
            NetSocket socket = connect(guard.peerAddress());
            socket.closeHandler(ignored -> closed.set(true));
            socket.write(encode(HelloFrame.of(NodeId.of("x"), 1, secret)));
            Waiting.until("the connection is closed", closed::get);
        }
    }

    @Test
    void exchangesControlFrames() {
        ControlEndpoint one = new ControlEndpoint("one");
        ControlEndpoint two = new ControlEndpoint("two");
        two.transport.setControlHandler(
                request ->
                        Future.succeededFuture(
                                ControlFrame.of(9, new byte[] {request.payload()[0]})));

        for (byte value = 0; value < 3; value++) {
            ControlFrame reply = one.exchange(two.port, new byte[] {value}, 2_000);
            assertThat(reply.type()).isEqualTo(9);
            assertThat(reply.payload()).containsExactly(value);
        }
        two.transport.setControlHandler(request -> Promise.<ControlFrame>promise().future());
        assertThatThrownBy(() -> one.exchange(two.port, new byte[1], 200))
                .hasMessageContaining("No answer came in time");
        assertThatThrownBy(() -> one.exchange(1, new byte[1], 200))
                .isInstanceOf(AssertionError.class);
    }

    private final class ControlEndpoint {

        private final DefaultPeerTransport transport;
        private final int port;

        ControlEndpoint(String name) {
            var vertx = installation.vertx();
            PeerIdentity identity = new PeerIdentity(NodeId.of(name), 1, Optional.empty());
            EventLog log = EventLog.create();
            BodyMemory memory = BodyMemory.of(32 << 20);
            PeerServer server =
                    PeerServer.create(vertx, identity, PeerTimings.DEFAULT, memory, log);
            port = Waiting.get(server.start(Endpoint.of("127.0.0.1", 0)));
            PeerPool pool =
                    PeerPool.create(
                            vertx,
                            vertx.getOrCreateContext(),
                            identity,
                            PeerTimings.DEFAULT,
                            memory,
                            log);
            transport = DefaultPeerTransport.create(pool, server);
        }

        ControlFrame exchange(int peerPort, byte[] payload, long timeoutMillis) {
            return Waiting.get(
                    transport.exchange(
                            "127.0.0.1", peerPort, ControlFrame.of(8, payload), timeoutMillis));
        }
    }

    private interface CallListener {
        void onCall(NetSocket socket, CallFrame call);
    }

    /** Returns the address of a proxy that forwards bytes only after a delay. */
    private Endpoint delayingProxy(long millis, Endpoint guard) {
        var vertx = installation.vertx();
        var server = vertx.createNetServer();
        server.connectHandler(
                socket -> {
                    socket.pause();
                    vertx.setTimer(
                            millis,
                            ignored ->
                                    vertx.createNetClient()
                                            .connect(guard.port(), guard.host())
                                            .onSuccess(
                                                    other -> {
                                                        other.handler(socket::write);
                                                        socket.handler(other::write);
                                                        socket.resume();
                                                    }));
                });
        return Endpoint.of("127.0.0.1", Waiting.get(server.listen(0, "127.0.0.1")).actualPort());
    }

    private Endpoint fakeGuard(CallListener listener) {
        return fakeGuard(listener, new AtomicInteger());
    }

    private Endpoint fakeGuard(CallListener listener, AtomicInteger pings) {
        var server = installation.vertx().createNetServer();
        server.connectHandler(
                socket -> {
                    RecordParser parser = RecordParser.newFixed(4);
                    boolean[] prefix = {true};
                    parser.handler(
                            record -> {
                                if (prefix[0]) {
                                    parser.fixedSizeMode(record.getInt(0));
                                } else {
                                    parser.fixedSizeMode(4);
                                    Frame frame = FrameDecoder.decode(record.getBytes());
                                    if (frame instanceof PingFrame ping) {
                                        pings.incrementAndGet();
                                        socket.write(
                                                encode(
                                                        PongFrame.of(
                                                                ping.sequence(),
                                                                Optional.empty())));
                                    }
                                    onFrame(socket, frame, listener);
                                }
                                prefix[0] = !prefix[0];
                            });
                    socket.handler(parser);
                });
        return Endpoint.of("127.0.0.1", Waiting.get(server.listen(0, "127.0.0.1")).actualPort());
    }

    private static void onFrame(NetSocket socket, Frame frame, CallListener listener) {
        if (frame instanceof HelloFrame) {
            socket.write(encode(HelloFrame.of(NodeId.of("fake"), 1, Optional.empty())));
        } else if (frame instanceof CallFrame call) {
            listener.onCall(socket, call);
        }
    }

    private static void answerTwice(NetSocket socket, CallFrame call) {
        byte[] body = call.request().body();
        FinishedCall finished = FinishedCall.answered(TargetAnswer.of(200, List.of(), body));
        socket.write(encode(AnswerFrame.of(call.id(), finished, Optional.empty())));
        byte[] other = "another".getBytes(StandardCharsets.UTF_8);
        FinishedCall second = FinishedCall.answered(TargetAnswer.of(200, List.of(), other));
        socket.write(encode(AnswerFrame.of(call.id(), second, Optional.empty())));
    }

    private static RouteTarget route(Endpoint endpoint) {
        return new RouteTarget(
                NodeId.of("fake"),
                1,
                TestInstallation.SERVICE,
                "north",
                endpoint.host(),
                endpoint.port(),
                TargetState.WARM,
                0,
                false,
                false);
    }

    private NetSocket connect(Endpoint endpoint) {
        return Waiting.get(
                installation.vertx().createNetClient().connect(endpoint.port(), endpoint.host()));
    }

    private static Buffer encode(Frame frame) {
        return Buffer.buffer(FrameEncoder.encode(frame));
    }
}
