package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.node.guard.IdentifyingProtocol.REQUEST_ID;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.dogwoodwood.node.support.ScriptedTarget;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against answers that are put together from parts of two, partial answers that count as
 * complete, and bytes after an answer that reach another call.
 */
class AnswerFramingTests {

    private static final String FIRST = "first";
    private static final int LONG_REQUEST_BYTES = 8 << 20;
    private static final int FOLLOWING_CALLS = 4;

    private static final String ID = REQUEST_ID + ": " + FIRST + "\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\n" + ID;
    private static final String ERROR = "HTTP/1.1 500 Internal Server Error\r\n" + ID;
    private static final String FIVE = "Content-Length: 5\r\n\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String WHOLE = OK + FIVE + "whole";
    private static final String FAILURE = ERROR + FIVE + "whole";
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final String HINTS = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n";
    private static final String PROCESSING = "HTTP/1.1 102 Processing\r\n\r\n";

    private static final String STEP_END = "\u0000";

    private static final String BROKEN = "TARGET_FAILED";
    private static final String SUCCEEDED = "200 whole";
    private static final String FAILED = "500 whole";

    /** What the target sends for the first call, and the status with which that call ends. */
    enum Answer {
        INTERIM_BEFORE(SUCCEEDED, CONTINUE + HINTS + WHOLE),
        INTERIM_BEFORE_IN_PARTS(SUCCEEDED, CONTINUE, ScriptedTarget.PAUSE, HINTS, WHOLE),
        INTERIM_BEFORE_FAILURE(FAILED, CONTINUE + FAILURE),
        PROCESSING_BEFORE(BROKEN, PROCESSING + WHOLE),
        SWITCHING_PROTOCOLS(BROKEN, "HTTP/1.1 101 Switching Protocols\r\n" + ID + "\r\n" + WHOLE),
        INTERIM_AFTER(SUCCEEDED, WHOLE + CONTINUE),
        INTERIM_AFTER_A_PAUSE(SUCCEEDED, WHOLE, ScriptedTarget.PAUSE, HINTS),
        INTERIM_WITH_LENGTH(BROKEN, "HTTP/1.1 100 Continue\r\n" + FIVE + "whole" + WHOLE),

        NO_CONTENT("204 ", "HTTP/1.1 204 No Content\r\n" + ID + "\r\n"),
        NO_CONTENT_WITH_BYTES("204 ", "HTTP/1.1 204 No Content\r\n" + ID + FIVE + "whole"),
        NOT_MODIFIED_WITH_BYTES("304 ", "HTTP/1.1 304 Not Modified\r\n" + ID + FIVE + "whole"),
        NO_CONTENT_BEFORE_ANSWER("204 ", "HTTP/1.1 204 No Content\r\n" + ID + "\r\n" + FAILURE),

        ENDED_BY_CLOSE(SUCCEEDED, OK + "\r\nwhole", ScriptedTarget.CLOSE),
        ENDED_BY_CLOSE_IN_PARTS(
                SUCCEEDED, OK + "\r\nwh", ScriptedTarget.PAUSE, "ole", ScriptedTarget.CLOSE),
        ENDED_BY_RESET(BROKEN, OK + "\r\nwhole", ScriptedTarget.RESET),
        ENDED_BY_LATE_RESET(BROKEN, OK + "\r\nwhole", ScriptedTarget.PAUSE, ScriptedTarget.RESET),
        OLD_VERSION_ENDED_BY_RESET(
                BROKEN, "HTTP/1.0 200 OK\r\n" + ID + "\r\nwhole", ScriptedTarget.RESET),

        CLOSED_IN_HEAD(BROKEN, OK, ScriptedTarget.CLOSE),
        CLOSED_BEFORE_BODY(BROKEN, OK + FIVE, ScriptedTarget.CLOSE),
        LENGTH_TOO_LONG_CLOSED(BROKEN, OK + FIVE + "who", ScriptedTarget.CLOSE),
        LENGTH_TOO_LONG_RESET(BROKEN, OK + FIVE + "who", ScriptedTarget.RESET),
        LENGTH_TOO_SHORT(SUCCEEDED, WHOLE + "surplus"),
        LENGTH_TOO_SHORT_LATER(SUCCEEDED, WHOLE, ScriptedTarget.PAUSE, "surplus"),
        LENGTH_TWICE_THE_SAME(BROKEN, OK + "Content-Length: 5\r\n" + FIVE + "whole"),
        LENGTHS_THAT_DIFFER(BROKEN, OK + "Content-Length: 9\r\n" + FIVE + "whole"),
        LENGTHS_THAT_DIFFER_IN_ONE_FIELD(BROKEN, OK + "Content-Length: 5, 9\r\n\r\nwhole"),
        LENGTH_BELOW_ZERO(BROKEN, OK + "Content-Length: -5\r\n\r\nwhole"),
        LENGTH_NO_NUMBER(BROKEN, OK + "Content-Length: five\r\n\r\nwhole"),

        CHUNKS(SUCCEEDED, OK + CHUNKED + "\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n"),
        CHUNKS_WITH_TRAILERS(
                SUCCEEDED,
                OK + CHUNKED + "\r\n5\r\nwhole\r\n0\r\n" + REQUEST_ID + ": other\r\nX: y\r\n\r\n"),
        CHUNKS_CUT_OFF(BROKEN, OK + CHUNKED + "\r\n5\r\nwhole\r\n", ScriptedTarget.CLOSE),
        CHUNKS_CUT_OFF_IN_CHUNK(BROKEN, OK + CHUNKED + "\r\n5\r\nwho", ScriptedTarget.CLOSE),
        CHUNKS_CUT_OFF_IN_TRAILER(
                BROKEN, OK + CHUNKED + "\r\n5\r\nwhole\r\n0\r\nX: y\r\n", ScriptedTarget.CLOSE),
        CHUNKS_RESET(BROKEN, OK + CHUNKED + "\r\n5\r\nwhole\r\n", ScriptedTarget.RESET),
        CHUNK_INVALID(BROKEN, OK + CHUNKED + "\r\nfive\r\nwhole\r\n0\r\n\r\n"),
        CHUNK_LONGER_THAN_ITS_SIZE(BROKEN, OK + CHUNKED + "\r\n3\r\nwhole\r\n0\r\n\r\n"),
        CHUNKS_WITH_ANSWER_INSIDE(BROKEN, OK + CHUNKED + "\r\n5\r\nwhole\r\n" + FAILURE),
        CHUNKS_AND_LENGTH(
                SUCCEEDED, OK + "Content-Length: 99\r\n" + CHUNKED + "\r\n5\r\nwhole\r\n0\r\n\r\n"),
        CHUNKS_AND_LENGTH_CUT_OFF(
                BROKEN, OK + CHUNKED + FIVE + "2\r\nwh\r\n", ScriptedTarget.CLOSE),

        CODING_UNKNOWN(
                BROKEN, OK + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
        STATUS_UNKNOWN(BROKEN, "HTTP/1.1 2000 OK\r\n" + ID + FIVE + "whole"),
        STATUS_ZERO(BROKEN, "HTTP/1.1 000 OK\r\n" + ID + FIVE + "whole"),
        STATUS_WITH_LEADING_ZERO(BROKEN, "HTTP/1.1 0200 OK\r\n" + ID + FIVE + "whole"),
        STATUS_WITH_LEADING_ZERO_IN_PARTS(
                BROKEN, "HTTP/1.1 02", ScriptedTarget.PAUSE, "00 OK\r\n" + ID + FIVE + "whole"),
        STATUS_AFTER_INTERIM_WITH_LEADING_ZERO(
                BROKEN,
                CONTINUE,
                ScriptedTarget.PAUSE,
                "HTTP/1.1 0200 OK\r\n" + ID + FIVE + "whole"),
        STATUS_WITH_SIGN(BROKEN, "HTTP/1.1 +200 OK\r\n" + ID + FIVE + "whole"),
        STATUS_OF_LETTERS(BROKEN, "HTTP/1.1 abc OK\r\n" + ID + FIVE + "whole"),
        STATUS_WITH_A_LETTER(BROKEN, "HTTP/1.1 2x0 OK\r\n" + ID + FIVE + "whole"),
        STATUS_CUT_OFF(BROKEN, "HTTP/1.1 20", ScriptedTarget.CLOSE),
        STATUS_TOO_HIGH(BROKEN, "HTTP/1.1 600 OK\r\n" + ID + FIVE + "whole"),

        TWICE(SUCCEEDED, WHOLE + WHOLE),
        TWICE_IN_PARTS(SUCCEEDED, WHOLE, WHOLE),
        TWICE_THE_SECOND_LATER(SUCCEEDED, WHOLE, ScriptedTarget.PAUSE, WHOLE),
        FAILURE_THEN_SUCCESS(FAILED, FAILURE + WHOLE),
        SUCCESS_THEN_FAILURE(SUCCEEDED, WHOLE + FAILURE),
        FAILURE_THEN_SUCCESS_LATER(FAILED, FAILURE, ScriptedTarget.PAUSE, WHOLE),
        NAME_OF_A_PROXY(SUCCEEDED, OK + "Via: HTTP/1.1 192.168.0.1\r\n" + FIVE + "whole"),
        HALF_HEAD_THEN_ANSWER(BROKEN, "HTTP/1.1 200 OK\r\n" + FAILURE, ScriptedTarget.CLOSE),
        CLOSE_ANNOUNCED(
                SUCCEEDED, OK + "Connection: close\r\n" + FIVE + "whole", ScriptedTarget.CLOSE),
        CLOSE_ANNOUNCED_WITH_ANSWER(
                SUCCEEDED, OK + "Connection: close\r\n" + FIVE + "whole" + FAILURE),
        CLOSE_ANNOUNCED_WITHOUT_LENGTH_RESET(
                BROKEN, OK + "Connection: close\r\n\r\nwhole", ScriptedTarget.RESET);

        private final String expected;
        private final String script;

        Answer(String expected, String... script) {
            this.expected = expected;
            this.script = String.join(STEP_END, script);
        }

        List<String> script() {
            return List.of(script.split(STEP_END, -1));
        }
    }

    private final Vertx vertx = Vertx.vertx();
    private ScriptedTarget target;
    private TargetCalls calls;

    @AfterEach
    void stop() {
        Waiting.get(vertx.close());
        target.close();
    }

    @ParameterizedTest
    @EnumSource
    void eachCallGetsItsOwnAnswer(Answer answer) {
        connect(answer.script());

        assertThat(TargetCalls.describe(calls.send("GET", FIRST))).isEqualTo(answer.expected);
        for (int call = 0; call < FOLLOWING_CALLS; call++) {
            // Surplus bytes may arrive after the next request has been written.
            assertThat(TargetCalls.describe(calls.send("GET", "next-" + call)))
                    .isIn("200 next-" + call, BROKEN);
        }
    }

    @ParameterizedTest
    @EnumSource
    void callsAfterAPauseAreAnswered(Answer answer) {
        connect(answer.script());
        calls.send("GET", FIRST);
        Waiting.sleep(2 * ScriptedTarget.PAUSE_MILLIS);

        assertFollowingCallsAreAnswered();
    }

    /** Guards against a body after the answer to HEAD that reaches the next call. */
    @Test
    void answerToHeadHasNoBody() {
        connect(List.of(WHOLE));

        assertThat(TargetCalls.describe(calls.send("HEAD", FIRST))).isEqualTo("200 ");
        assertFollowingCallsAreAnswered();
    }

    /** Guards against the body of a copy, or of the next answer, as the body of one to HEAD. */
    @Test
    void copiesAroundAnAnswerToHeadReachNoOtherCall() {
        String copy = WHOLE.replace(FIRST, "earlier");
        String head = OK + FIVE;
        connect(List.of(copy + head));
        assertThat(TargetCalls.describe(calls.send("HEAD", FIRST))).isIn("200 ", BROKEN);
        connect(List.of(head.replace(FIRST, "earlier") + WHOLE));
        assertThat(TargetCalls.describe(calls.send("GET", FIRST))).isIn(SUCCEEDED, BROKEN);
        connect(List.of(head, ScriptedTarget.PAUSE, copy));
        assertThat(TargetCalls.describe(calls.send("HEAD", FIRST))).isEqualTo("200 ");
        assertThat(TargetCalls.describe(calls.send("GET", "next-0"))).isIn("200 next-0", BROKEN);
    }

    /** Guards against a partial body without a length that the end of the client completes. */
    @Test
    void answerThatTheClientClosesIsNotWhole() {
        AtomicBoolean received = new AtomicBoolean();
        target =
                ScriptedTarget.start(
                        lines -> {
                            received.set(true);
                            return List.of(
                                    OK + "\r\npart", ScriptedTarget.PAUSE, ScriptedTarget.PAUSE);
                        });
        calls = TargetCalls.to(target.address(), vertx);
        Future<TargetResult> result = calls.start("GET", FIRST, new byte[0]);
        Waiting.until("the target has the request", received::get);
        Waiting.sleep(ScriptedTarget.PAUSE_MILLIS);
        vertx.runOnContext(ignored -> calls.client().close());

        assertThat(TargetCalls.describe(Waiting.get(result))).isEqualTo(BROKEN);
    }

    /** Guards against a reset that the writes of a long request hide from the reader. */
    @ParameterizedTest
    @ValueSource(strings = {ScriptedTarget.RESET, ScriptedTarget.CLOSE})
    void answerThatIsResetDuringTheRequestIsNotWhole(String end) {
        connect(List.of(OK + "\r\npart", ScriptedTarget.PAUSE, end));
        Future<TargetResult> result = calls.start("PUT", FIRST, new byte[LONG_REQUEST_BYTES]);

        assertThat(TargetCalls.describe(Waiting.get(result))).isEqualTo(BROKEN);
    }

    private void connect(List<String> script) {
        target = ScriptedTarget.start(lines -> scriptFor(lines, script));
        calls = TargetCalls.to(target.address(), vertx);
    }

    private static List<String> scriptFor(List<String> lines, List<String> script) {
        String field = lines.stream().filter(line -> line.startsWith(REQUEST_ID)).findFirst().get();
        String id = field.substring(REQUEST_ID.length() + 2);
        String length = "Content-Length: " + id.length();
        String own = "HTTP/1.1 200 OK\r\n" + field + "\r\n" + length + "\r\n\r\n" + id;
        return id.equals(FIRST) ? script : List.of(own);
    }

    private void assertFollowingCallsAreAnswered() {
        for (int call = 0; call < FOLLOWING_CALLS; call++) {
            assertThat(TargetCalls.describe(calls.send("GET", "next-" + call)))
                    .isEqualTo("200 next-" + call);
        }
    }
}
