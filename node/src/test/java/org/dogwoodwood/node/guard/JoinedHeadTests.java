package org.dogwoodwood.node.guard;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.node.guard.IdentifyingProtocol.REQUEST_ID;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.dogwoodwood.node.support.ScriptedTarget;
import org.dogwoodwood.node.support.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a copy that is cut at any byte and takes the place of the next answer's head. */
class JoinedHeadTests {

    private static final String NEXT = "500 whole";

    private final Vertx vertx = Vertx.vertx();
    private final List<ScriptedTarget> targets = new ArrayList<>();

    @AfterEach
    void stop() {
        Waiting.get(vertx.close());
        targets.forEach(ScriptedTarget::close);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nA: b\r\nRequest-Id: first\r\nContent-Length: 2\r\n\r\nab",
                "HTTP/1.0 200 OK\r\nRequest-Id: first\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n",
                "HTTP/1.1 200 OK\nServer: a\nRequest-Id: first\n",
                "HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nServer: a"
            })
    void copyThatIsCutAtAnyByteChangesNoStatus(String copy) {
        List<String> wrong = new ArrayList<>();
        for (int length = 1; length <= copy.length(); length++) {
            String cut = copy.substring(0, length);
            ScriptedTarget target = ScriptedTarget.start(lines -> scriptFor(lines, cut));
            targets.add(target);
            TargetCalls calls = TargetCalls.to(target.address(), vertx);
            calls.send("GET", "first");
            String second = TargetCalls.describe(calls.send("GET", "second"));
            if (!List.of(NEXT, "TARGET_FAILED", "DEADLINE_EXCEEDED").contains(second)) {
                wrong.add(length + ": " + second);
            }
        }
        assertThat(wrong).isEmpty();
    }

    private static List<String> scriptFor(List<String> lines, String cut) {
        String id = lines.stream().filter(line -> line.startsWith(REQUEST_ID)).findFirst().get();
        String rest = "\r\n" + id + "\r\nContent-Length: 5\r\n\r\nwhole";
        return id.endsWith("second")
                ? List.of(cut + "HTTP/1.1 500 Internal Server Error" + rest)
                : List.of("HTTP/1.1 200 OK" + rest);
    }
}
