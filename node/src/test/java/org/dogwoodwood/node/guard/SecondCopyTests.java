package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.node.guard.IdentifyingProtocol.REQUEST_ID;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.UnaryOperator;
import org.dogwoodwood.node.support.ScriptedTarget;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against requests that fail because a second copy of an earlier answer came in place of
 * their own answer.
 */
class SecondCopyTests {

    private static final int CALLS = 10;
    private static final int MANY = 40;

    private final Vertx vertx = Vertx.vertx();
    private ScriptedTarget target;
    private TargetCalls calls;
    private String earlierAnswer = "";

    @AfterEach
    void stop() {
        Waiting.get(vertx.close());
        target.close();
    }

    /** When the target sends the second copy of an answer. */
    enum Moment {
        AT_ONCE {
            @Override
            List<String> script(String answer, String earlierAnswer) {
                return List.of(answer + answer);
            }
        },
        LATE {
            @Override
            List<String> script(String answer, String earlierAnswer) {
                return List.of(answer, ScriptedTarget.PAUSE, answer);
            }
        },
        BEFORE_THE_NEXT_ANSWER {
            @Override
            List<String> script(String answer, String earlierAnswer) {
                return List.of(earlierAnswer + answer);
            }
        };

        abstract List<String> script(String answer, String earlierAnswer);
    }

    @ParameterizedTest
    @EnumSource
    void eachRequestGetsItsOwnAnswerOnTheSameConnection(Moment moment) {
        start(lines -> answerTwice(lines, moment));
        for (int number = 0; number < CALLS; number++) {
            String id = "call-" + number;
            assertThat(TargetCalls.describe(calls.send("GET", id))).isEqualTo("200 " + id);
        }
        assertThat(target.connections()).isEqualTo(1);
    }

    /** An answer to HEAD has a length and no body, so its copy would swallow the next answer. */
    @Test
    void dropsNoAnswerAfterARequestForTheHeadAlone() {
        start(lines -> List.of(earlierAnswer + keepHead(lines)));
        assertThat(TargetCalls.describe(calls.send("HEAD", "call-0"))).isEqualTo("200 ");
        assertThat(TargetCalls.describe(calls.send("HEAD", "call-1"))).isEqualTo("TARGET_FAILED");
    }

    /** Guards against a target that keeps a request waiting by answers to others. */
    @Test
    void closesTheConnectionAfterTooManyForeignAnswers() {
        start(lines -> List.of(answer("another").repeat(MANY)));
        assertThat(TargetCalls.describe(calls.send("GET", "call-0"))).isEqualTo("TARGET_FAILED");
    }

    private void start(UnaryOperator<List<String>> answers) {
        target = ScriptedTarget.start(answers);
        calls = TargetCalls.to(target.address(), vertx);
    }

    private List<String> answerTwice(List<String> lines, Moment moment) {
        String answer = answer(idIn(lines));
        List<String> script = moment.script(answer, earlierAnswer);
        earlierAnswer = answer;
        return script;
    }

    private String keepHead(List<String> lines) {
        String id = idIn(lines);
        String answer = answer(id);
        earlierAnswer = answer.substring(0, answer.length() - id.length());
        return earlierAnswer;
    }

    private static String idIn(List<String> lines) {
        String field = lines.stream().filter(line -> line.startsWith(REQUEST_ID)).findFirst().get();
        return field.substring(REQUEST_ID.length() + 2);
    }

    private static String answer(String id) {
        return String.format(
                "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
                REQUEST_ID, id, id.length(), id);
    }
}
