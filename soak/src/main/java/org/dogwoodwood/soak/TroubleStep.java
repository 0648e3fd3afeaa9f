package org.dogwoodwood.soak;

import java.io.IOException;

/** A step of trouble that may fail or be interrupted. */
@FunctionalInterface
interface TroubleStep {

    /** Plays the step. */
    void play() throws IOException, InterruptedException;

    /** Returns a task that plays the step and counts its failure. */
    default Runnable counting(Counts counts) {
        return () -> {
            try {
                play();
            } catch (IOException e) {
                counts.add("failed step of the soak: " + e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
    }
}
