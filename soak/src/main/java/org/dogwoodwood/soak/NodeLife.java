package org.dogwoodwood.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** One process of a node, with its log and its history. */
final class NodeLife {

    private static final int LOG_LINES = 6;

    private final Process process;
    private final Path log;
    private final LifeHistory history;

    private NodeLife(Process process, Path log, LifeHistory history) {
        this.process = process;
        this.log = log;
        this.history = history;
    }

    /**
     * Starts a process.
     *
     * @param builder has the command and the environment
     * @param log receives what the process prints
     */
    static NodeLife start(ProcessBuilder builder, String name, Path log) throws IOException {
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        LifeHistory history = new LifeHistory(name, System.nanoTime());
        return new NodeLife(builder.start(), log, history);
    }

    LifeHistory history() {
        return history;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends a signal, if the process is alive; returns whether it was. */
    synchronized boolean send(NodeSignal signal) throws IOException {
        if (!process.isAlive()) {
            return false;
        }
        history.addSignal(signal, System.nanoTime());
        signal.send(process);
        return true;
    }

    /** Returns the exit status, once the process has ended. */
    CompletableFuture<Integer> exitStatus() {
        return process.onExit().thenApply(Process::exitValue);
    }

    /** Returns the last lines of the log. */
    List<String> logEnd() {
        try {
            String text = Files.readString(log, StandardCharsets.ISO_8859_1);
            List<String> lines = text.lines().toList();
            return lines.subList(Math.max(0, lines.size() - LOG_LINES), lines.size());
        } catch (IOException e) {
            return List.of("the log cannot be read: " + e);
        }
    }
}
