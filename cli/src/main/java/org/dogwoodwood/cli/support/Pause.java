package org.dogwoodwood.cli.support;

import java.time.Duration;

/** Pauses the thread that runs a command. */
public final class Pause {

    private Pause() {}

    /**
     * Blocks the current thread for the given duration.
     *
     * @throws IllegalStateException if the thread is interrupted
     */
    public static void sleep(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("Run the command again: it was interrupted.", e);
        }
    }
}
