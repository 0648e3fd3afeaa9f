package org.dogwoodwood.soak;

import java.util.List;
import org.dogwoodwood.standins.store.StandinStore;

/** The faults of the store and the operator's new versions of the configuration. */
final class StoreTrouble {

    private static final String OPERATOR_TOPIC = "keyed.op";
    private static final String CONFIGURATION_KEY = "config";
    private static final int MAX_VERSION_STEP = 3;

    private final StandinStore store;
    private final List<String> services;
    private int faults;
    private long upSinceNanos = System.nanoTime();
    private int version = 1;

    StoreTrouble(StandinStore store, List<String> services) {
        this.store = store;
        this.services = services;
        publish();
    }

    /** Returns the port of the store. */
    int port() {
        return store.port();
    }

    /** Lets the store answer 503 for some time. */
    void goDown(int millis) throws InterruptedException {
        begin();
        store.setDown(true);
        Thread.sleep(millis);
        end();
    }

    /** Lets the store do what it is asked without an answer for some time. */
    void loseResponses(int millis) throws InterruptedException {
        begin();
        store.setLosesResponses(true);
        Thread.sleep(millis);
        end();
    }

    /** Lets all open connections go silent; new ones work. */
    synchronized void silenceConnections() {
        store.silenceConnections();
        upSinceNanos = System.nanoTime();
    }

    /** Drops all but the newest configuration. */
    void compact() {
        store.compact(OPERATOR_TOPIC);
    }

    /**
     * Writes a new version of the configuration.
     *
     * @param step by how much the version increases, reduced to the steps of the platform
     */
    synchronized void publishNext(int step) {
        version += 1 + step % MAX_VERSION_STEP;
        publish();
    }

    /** Returns since when the store has been up, in {@link System#nanoTime()}. */
    synchronized long upSinceNanos() {
        return faults == 0 ? upSinceNanos : System.nanoTime();
    }

    private synchronized void begin() {
        faults++;
    }

    // Faults that overlap end together, with the last of them.
    private synchronized void end() {
        faults--;
        if (faults == 0) {
            store.setDown(false);
            store.setLosesResponses(false);
            upSinceNanos = System.nanoTime();
        }
    }

    private void publish() {
        store.put(OPERATOR_TOPIC, CONFIGURATION_KEY, SoakConfiguration.of(services, version));
    }
}
