package org.dogwoodwood.node.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.dogwoodwood.node.support.TestInstallation;
import org.dogwoodwood.node.support.TestNode;
import org.dogwoodwood.node.support.TestTarget;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests reaching a target whose framing two HTTP parsers could interpret
 * differently.
 */
class RequestFramingTests {

    private static final TestInstallation INSTALLATION = new TestInstallation();
    private static TestTarget target;
    private static TestNode node;

    @BeforeAll
    static void start() {
        target = INSTALLATION.startTarget();
        node = INSTALLATION.startGuard("guard", target);
        INSTALLATION.setRoutes(node);
    }

    @AfterAll
    static void close() {
        INSTALLATION.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
                "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd",
                "Content-Length: 4, 5\r\n\r\nabcd",
                "Content-Length: -4\r\n\r\nabcd",
                "Content-Length: +4\r\n\r\nabcd",
                "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
                "Host: other\r\nContent-Length: 0\r\n\r\n",
            })
    void refusesAmbiguousFraming(String rest) throws IOException {
        int before = target.started();
        try (RawCaller caller = new RawCaller(node.node().callerPort())) {
            caller.send("POST /services/shop/echo HTTP/1.1\r\nHost: a\r\n" + rest);
            String answer = caller.readAll();

            assertThat(answer).startsWith("HTTP/1.1 400 ").contains("not-run").endsWith("<closed>");
        }
        assertThat(target.started()).isEqualTo(before);
    }

    /** Vert.x closes the connection itself, so that no answer can be written. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "zz\r\nabcd\r\n0\r\n\r\n",
                "-1\r\nabcd\r\n0\r\n\r\n",
                "4\r\nabcdX0\r\n\r\n",
                "FFFFFFFFFFFFFFFFF\r\nabcd\r\n0\r\n\r\n",
            })
    void closesConnectionOnMalformedChunks(String chunks) throws IOException {
        int before = target.started();
        try (RawCaller caller = new RawCaller(node.node().callerPort())) {
            caller.send(head("Transfer-Encoding: chunked") + chunks);

            assertThat(caller.readAll()).doesNotContain("200 OK").endsWith("<closed>");
        }
        assertThat(target.started()).isEqualTo(before);
    }

    @Test
    void servesChunkedBodiesAndFollowingRequests() throws IOException {
        try (RawCaller caller = new RawCaller(node.node().callerPort())) {
            String chunked = head("Transfer-Encoding: chunked") + "3\r\none\r\n0\r\n\r\n";
            String sized = head("Connection: close\r\nContent-Length: 3") + "two";
            caller.send(chunked + sized);
            String answer = caller.readAll();

            assertThat(answer).containsSubsequence("200 OK", "one", "200 OK", "two", "<closed>");
        }
    }

    @Test
    void timesOutSlowBodiesAndHeads() throws IOException {
        try (RawCaller body = new RawCaller(node.node().callerPort());
                RawCaller headOnly = new RawCaller(node.node().callerPort())) {
            body.send(head("Content-Length: 10") + "abc");
            headOnly.send("POST /services/shop/echo HTTP/1.1\r\nHost: a\r\n");

            assertThat(body.readAll()).startsWith("HTTP/1.1 400 ").endsWith("<closed>");
            assertThat(headOnly.readAll()).endsWith("<closed>");
        }
    }

    @Test
    void refusesOversizedHeads() throws IOException {
        try (RawCaller caller = new RawCaller(node.node().callerPort())) {
            String padding = "X-Padding: " + "a".repeat(40 << 10) + "\r\n\r\n";
            caller.send("GET /services/shop/echo HTTP/1.1\r\nHost: a\r\n" + padding);

            assertThat(caller.readAll()).startsWith("HTTP/1.1 4").endsWith("<closed>");
        }
    }

    private static String head(String fields) {
        return "POST /services/shop/echo HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n\r\n";
    }
}
