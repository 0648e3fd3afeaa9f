package org.dogwoodwood.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a daemon that starts with invalid options or fails without an error. */
class NodeMainTests {

    private final ByteArrayOutputStream text = new ByteArrayOutputStream();

    @TempDir private Path directory;

    @Test
    void checksSettingsWithoutStarting() throws IOException {
        assertThat(run("--settings", write("127.0.0.1:1"), "--check")).isZero();
        assertThat(run("--settings", write("nowhere"), "--check"))
                .isEqualTo(NodeMain.EXIT_SETTINGS);
        assertThat(text.toString(StandardCharsets.UTF_8)).contains("5001 peer_address:");
    }

    @Test
    void refusesWrongOptions() {
        assertThat(run("--setings", "x")).isEqualTo(NodeMain.EXIT_USAGE);
        assertThat(text.toString(StandardCharsets.UTF_8)).contains("8001", "Usage:");
    }

    @Test
    void exitsWithAFailureIfAnAddressIsInUse() throws IOException {
        try (ServerSocket used = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + used.getLocalPort();
            assertThat(run("--settings", write(address))).isEqualTo(NodeMain.EXIT_FAILED);
        }
    }

    private int run(String... arguments) {
        PrintStream out = new PrintStream(text, true, StandardCharsets.UTF_8);
        return NodeMain.run(arguments, out, out);
    }

    private String write(String peerAddress) throws IOException {
        String toml =
                """
                data_centre = "north"
                caller_address = "127.0.0.1:0"
                admin_address = "127.0.0.1:0"
                log_address = "127.0.0.1:1"
                peer_address = "%s"
                """;
        Path file = directory.resolve("node.toml");
        Files.writeString(file, toml.formatted(peerAddress));
        return file.toString();
    }
}
