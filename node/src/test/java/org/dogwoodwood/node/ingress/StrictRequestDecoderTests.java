package org.dogwoodwood.node.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpServerOptions;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.connections.ConnectionBudget;
import org.dogwoodwood.core.connections.ConnectionLimits;
import org.dogwoodwood.node.logging.EventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that make one connection hold more than its share of the memory. */
class StrictRequestDecoderTests {

    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final String CHUNKED = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final List<String> PARTS =
            List.of(
                    REQUEST,
                    CHUNKED + "3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n",
                    "PUT / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
                    "\r\n\r\n\r\n",
                    "a:\r\n b\r\n".repeat(50),
                    ": \r\n",
                    "\u0000\u007f\r");
    private static final int CAPACITY_BYTES = 4 << 20;

    private final EventLog log = EventLog.create();
    private final ConnectionBudget<Channel> budget =
            ConnectionBudget.of(new ConnectionLimits(CAPACITY_BYTES, 8));
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private CallerConnection caller = connect(channel);

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    @Test
    void refusesEmptyLinesWithoutEnd() {
        send("\r\n".repeat(40_000));

        HttpRequest refused = channel.readInbound();
        assertThat(refused.decoderResult().cause()).isInstanceOf(TooLongFrameException.class);
    }

    @Test
    void servesEmptyLinesAndAHeadOfPermittedSize() {
        send("\r\n".repeat(100) + "GET / HTTP/1.1\r\n" + "a:\r\n".repeat(4_000) + "\r\n");

        HttpRequest request = channel.readInbound();
        assertThat(request.decoderResult().isSuccess()).isTrue();
        assertThat(request.headers().getAll("a")).hasSize(4_000);
    }

    @Test
    void decodesNoMoreRequestsThanMayWaitForAnswers() {
        send(REQUEST.repeat(100));
        assertThat(heads()).isEqualTo(CallerConnection.MAX_UNANSWERED);

        for (int answer = 0; answer < 100; answer++) {
            caller.onAnswered();
            channel.runPendingTasks();
        }
        assertThat(heads()).isEqualTo(100 - CallerConnection.MAX_UNANSWERED);
        assertThat(budget.heldBytes()).isLessThan(ConnectionLimits.ORDINARY_BYTES);
    }

    /** The refusal promises that nothing has run, so it must come with the head. */
    @Test
    void refusesAHeadForWhichThereIsNoMemory() {
        EmbeddedChannel other = new EmbeddedChannel();
        connect(other);
        budget.onBusy(other);
        budget.hold(other, CAPACITY_BYTES * 3 / 4 - (64 << 10));

        send("GET / HTTP/1.1\r\n" + "a:\r\n".repeat(4_000) + "\r\n");

        HttpRequest refused = channel.readInbound();
        assertThat(refused.decoderResult().cause())
                .isInstanceOfSatisfying(
                        DogwoodwoodException.class,
                        e -> assertThat(e.code()).isEqualTo(ErrorCode.OVERLOADED));
        other.finishAndReleaseAll();
    }

    /** Seeded, so that a failure can be repeated. */
    @Test
    void anyBytesStayWithinTheBudget() {
        Random random = new Random(7_301);
        List<CallerConnection> callers = new ArrayList<>();
        for (int round = 0; round < 3_000; round++) {
            EmbeddedChannel fuzzed = new EmbeddedChannel();
            callers.add(connect(fuzzed));
            byte[] bytes = bytes(random);
            for (int from = 0; from < bytes.length && fuzzed.isOpen(); ) {
                int length = Math.min(bytes.length - from, 1 + random.nextInt(4_000));
                fuzzed.writeInbound(Unpooled.copiedBuffer(bytes, from, length));
                from += length;
            }
            assertThat(budget.heldBytes()).isLessThanOrEqualTo(CAPACITY_BYTES);
            assertThat(budget.connections()).isLessThanOrEqualTo(8);
            fuzzed.finishAndReleaseAll();
            if (random.nextBoolean()) {
                callers.remove(random.nextInt(callers.size())).onClosed();
            }
        }
        callers.forEach(CallerConnection::onClosed);
        caller.onClosed();
        assertThat(budget.heldBytes()).isZero();
    }

    private static byte[] bytes(Random random) {
        StringBuilder text = new StringBuilder();
        while (text.length() < 20_000 && random.nextInt(12) > 0) {
            String part = PARTS.get(random.nextInt(PARTS.size()));
            text.append(part.repeat(1 + random.nextInt(30)));
        }
        byte[] bytes = text.toString().getBytes(StandardCharsets.ISO_8859_1);
        for (int damage = random.nextInt(4); damage > 0 && bytes.length > 0; damage--) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        }
        return bytes;
    }

    private CallerConnection connect(EmbeddedChannel to) {
        HttpServerOptions options =
                new HttpServerOptions().setMaxHeaderSize(32 << 10).setMaxInitialLineLength(4_096);
        CallerConnection opened = CallerConnection.open(budget, to, log);
        to.pipeline()
                .addLast(new StrictRequestDecoder(options, 10_000, opened, head -> {}, () -> {}));
        return opened;
    }

    private void send(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    private int heads() {
        int heads = 0;
        for (Object message = channel.readInbound();
                message != null;
                message = channel.readInbound()) {
            heads += message instanceof HttpRequest ? 1 : 0;
            ReferenceCountUtil.release(message);
        }
        return heads;
    }
}
