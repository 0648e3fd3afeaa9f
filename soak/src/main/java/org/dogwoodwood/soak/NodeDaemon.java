package org.dogwoodwood.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The process of a node, started with its settings file. */
final class NodeDaemon {

    private static final String MAIN_CLASS = "org.dogwoodwood.platform.PlatformMain";
    private static final String SETTINGS_VARIABLE = "DOGWOODWOOD_BOOT";
    private static final int STOP_SECONDS = 8;
    private static final List<String> FLAGS =
            List.of(
                    "-Xms32m",
                    "-Xmx96m",
                    "-Xss512k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:ReservedCodeCacheSize=32m",
                    "-XX:MaxMetaspaceSize=64m",
                    "-XX:MaxDirectMemorySize=64m",
                    "-XX:+ExitOnOutOfMemoryError",
                    "-Dio.netty.allocator.numDirectArenas=1",
                    "-Dio.netty.allocator.numHeapArenas=0",
                    "-Dvertx.disableDnsResolver=true");

    private final Path settings;
    private final Path log;
    private final String classPath;
    private volatile Process process;

    NodeDaemon(Path settings, Path log, String classPath) {
        this.settings = settings;
        this.log = log;
        this.classPath = classPath;
    }

    /** Starts the process; its log is appended to the one of an earlier process. */
    synchronized void start() throws IOException {
        Path java = Path.of(System.getProperty("java.home"), "bin", "java");
        ProcessBuilder builder = new ProcessBuilder(java.toString());
        builder.command().addAll(FLAGS);
        builder.command().addAll(List.of("-cp", classPath, MAIN_CLASS));
        builder.environment().put(SETTINGS_VARIABLE, settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    /** Ends the process without notice. */
    synchronized void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    /** Ends the process without notice and does not wait, for use while this process ends. */
    void killNow() {
        Process running = process;
        if (running != null) {
            running.destroyForcibly();
        }
    }

    /** Ends the process as the platform does: SIGTERM, and SIGKILL after the time of grace. */
    synchronized void stop() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
            kill();
        }
    }

    /** Suspends the process for some time. */
    synchronized void pause(int millis) throws IOException, InterruptedException {
        signal("-STOP");
        Thread.sleep(millis);
        signal("-CONT");
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", name, Long.toString(process.pid())).start().waitFor();
    }
}
