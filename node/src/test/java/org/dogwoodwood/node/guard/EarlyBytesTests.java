package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.node.guard.IdentifyingProtocol.REQUEST_ID;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.dogwoodwood.node.support.ScriptedTarget;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against bytes that were read before a request was written and count as its answer. */
class EarlyBytesTests {

    private static final String PASSED = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final String FAILED =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nRequest-Id: first\r\nContent-Length: 5\r\n\r\n";
    private static final String HINTS = "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n";

    private final Vertx vertx = Vertx.vertx();
    private ScriptedTarget target;

    @AfterEach
    void stop() {
        Waiting.get(vertx.close());
        target.close();
    }

    /** Guards against a failed poll that passes by a copy of the answer to the poll before it. */
    @Test
    void copyThatWasReadWithAnAnswerAnswersNoWaitingPoll() {
        assertThat(secondOfTwoPolls(PASSED + PASSED)).isNotEqualTo("200 ");
    }

    /** Guards against a partial body without a length that counts as whole. */
    @Test
    void partOfACopyThatWasReadWithAnAnswerIsNotWhole() {
        assertThat(secondOfTwoPolls(PASSED + "HTTP/1.1 200 OK\r\n\r\npart"))
                .isNotEqualTo("200 part");
    }

    /** Guards against an answer to HEAD that waits for a body after an interim response. */
    @Test
    void interimResponseBeforeAnAnswerToHead() {
        target = ScriptedTarget.start(lines -> List.of(HINTS + HEAD));
        TargetCalls calls = TargetCalls.to(target.address(), vertx);
        assertThat(TargetCalls.describe(calls.send("HEAD", "first"))).isEqualTo("200 ");
        assertThat(TargetCalls.describe(calls.send("HEAD", "first"))).isEqualTo("REQUEST_REPEATED");
        assertThat(TargetCalls.describe(calls.send("HEAD", "next"))).isEqualTo("TARGET_FAILED");
    }

    /** Guards against a copy that becomes the body of an answer to HEAD. */
    @Test
    void interimResponseAndCopyAroundAnAnswerToHead() {
        target = ScriptedTarget.start(lines -> List.of(HINTS + HEAD, ScriptedTarget.PAUSE, HEAD));
        TargetCalls calls = TargetCalls.to(target.address(), vertx);
        assertThat(TargetCalls.describe(calls.send("HEAD", "first"))).isIn("200 ", "TARGET_FAILED");
    }

    /** Guards against copies read together with an answer while other calls wait for its place. */
    @Test
    void callsThatWaitForAConnectionGetTheirOwnAnswers() {
        target = ScriptedTarget.start(EarlyBytesTests::answerThrice);
        TargetCalls calls = TargetCalls.to(target.address(), vertx);
        List<Future<TargetResult>> results = new ArrayList<>();
        for (int call = 0; call < 200; call++) {
            results.add(calls.start("GET", "c" + call, new byte[0]));
        }
        List<String> described = new ArrayList<>();
        for (int call = 0; call < 200; call++) {
            String result = TargetCalls.describe(Waiting.get(results.get(call)));
            described.add(result.replace("200 c" + call, "own"));
        }
        assertThat(described).containsOnly("own");
    }

    private String secondOfTwoPolls(String first) {
        target = ScriptedTarget.start(lines -> answerPoll(lines, first));
        TargetClient client = TargetCalls.to(target.address(), vertx).client();
        Promise<String> second = Promise.promise();
        vertx.getOrCreateContext()
                .runOnContext(
                        ignored -> {
                            client.poll("/first");
                            client.poll("/second")
                                    .map(answer -> answer.status() + " " + answer.body())
                                    .otherwise("failed")
                                    .onSuccess(second::complete);
                        });
        return Waiting.get(second.future());
    }

    private static List<String> answerPoll(List<String> lines, String first) {
        return List.of(lines.get(0).contains("/first") ? first : FAILED);
    }

    private static List<String> answerThrice(List<String> lines) {
        String field = lines.stream().filter(line -> line.startsWith(REQUEST_ID)).findFirst().get();
        String id = field.substring(REQUEST_ID.length() + 2);
        String answer =
                String.format(
                        "HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s",
                        field, id.length(), id);
        return List.of(answer + answer + answer);
    }
}
