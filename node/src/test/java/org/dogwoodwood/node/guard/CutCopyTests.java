package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.node.guard.IdentifyingProtocol.REQUEST_ID;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwood.node.support.ScriptedTarget;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against the beginning of a second copy of an answer that becomes the beginning of the
 * answer to the next call: its status would then be that of the copy.
 */
class CutCopyTests {

    private static final String FAILED = "500 whole";

    private final Vertx vertx = Vertx.vertx();
    private ScriptedTarget target;

    /** When the target sends the beginning of the copy. */
    enum Moment {
        WITH_THE_ANSWER,
        AFTER_THE_ANSWER,
        WITH_THE_NEXT_ANSWER,
        BEFORE_THE_NEXT_ANSWER
    }

    @AfterEach
    void stop() {
        Waiting.get(vertx.close());
        target.close();
    }

    @ParameterizedTest
    @CsvSource({
        "WITH_THE_ANSWER, HTTP/1.1 200",
        "WITH_THE_ANSWER, HTTP/1.1 200 O",
        "WITH_THE_ANSWER, 'HTTP/1.1 200 OK\r\nDate: Su'",
        "AFTER_THE_ANSWER, HTTP/1.1 200 O",
        "AFTER_THE_ANSWER, 'HTTP/1.1 200 OK\r\nDate: Su'",
        "AFTER_THE_ANSWER, 'HTTP/1.1 200 OK\r\nDate: Sunday\r\n'",
        "WITH_THE_NEXT_ANSWER, HTTP/1.1 200 O",
        "WITH_THE_NEXT_ANSWER, 'HTTP/1.1 200 OK\r'",
        "WITH_THE_NEXT_ANSWER, 'HTTP/1.1 200 OK\r\nDate: Sunday\r\n\r'",
        "WITH_THE_NEXT_ANSWER, 'HTTP/1.1 200 OK\r\nDate: Sunday\r\n '",
        "WITH_THE_NEXT_ANSWER, 'HTTP/1.1 200 OK\r\nDate: Su'",
        "WITH_THE_NEXT_ANSWER, 'HTTP/1.1 200 OK\r\nDate: Sunday\r\n'",
        "BEFORE_THE_NEXT_ANSWER, HTTP/1.1 200 O",
        "BEFORE_THE_NEXT_ANSWER, 'HTTP/1.1 200 OK\r\nDate: Su'",
        "BEFORE_THE_NEXT_ANSWER, 'HTTP/1.1 200 OK\r\nDate: Sunday\r\n'"
    })
    void failureAfterACutCopyOfASuccessIsNoSuccess(Moment moment, String copy) {
        target = ScriptedTarget.start(lines -> scriptFor(lines, moment, copy));
        TargetCalls calls = TargetCalls.to(target.address(), vertx);

        assertThat(TargetCalls.describe(calls.send("GET", "first"))).isEqualTo("200 whole");
        Waiting.sleep(moment == Moment.AFTER_THE_ANSWER ? 2 * ScriptedTarget.PAUSE_MILLIS : 0);
        assertThat(TargetCalls.describe(calls.send("GET", "second"))).isIn(FAILED, "TARGET_FAILED");
    }

    /** Guards against a failed health check that counts as passed. */
    @Test
    void failedPollAfterACutCopyIsNoSuccess() {
        AtomicInteger polls = new AtomicInteger();
        String rest = "\r\nContent-Length: 0\r\n\r\n";
        String passed = "HTTP/1.1 200 OK" + rest + "HTTP/1.1 200 O";
        String failed = "HTTP/1.1 503 Service Unavailable" + rest;
        target =
                ScriptedTarget.start(
                        lines -> List.of(polls.getAndIncrement() == 0 ? passed : failed));
        TargetClient client = TargetCalls.to(target.address(), vertx).client();

        assertThat(Waiting.get(client.poll("/health")).status()).isEqualTo(200);
        Waiting.sleep(ScriptedTarget.PAUSE_MILLIS);
        assertThat(Waiting.get(client.poll("/health")).status()).isEqualTo(503);
    }

    private static List<String> scriptFor(List<String> lines, Moment moment, String copy) {
        String id = lines.stream().filter(line -> line.startsWith(REQUEST_ID)).findFirst().get();
        String rest = "\r\n" + id + "\r\nContent-Length: 5\r\n\r\nwhole";
        String success = "HTTP/1.1 200 OK" + rest;
        String failure = "HTTP/1.1 500 Internal Server Error" + rest;
        boolean second = id.endsWith("second");
        return switch (moment) {
            case WITH_THE_ANSWER -> List.of(second ? failure : success + copy);
            case AFTER_THE_ANSWER ->
                    second ? List.of(failure) : List.of(success, ScriptedTarget.PAUSE, copy);
            case WITH_THE_NEXT_ANSWER -> List.of(second ? copy + failure : success);
            case BEFORE_THE_NEXT_ANSWER ->
                    second ? List.of(copy, ScriptedTarget.PAUSE, failure) : List.of(success);
        };
    }
}
