package org.dogwoodwood.soak;

/** Starts threads that do not keep the process running. */
final class Daemons {

    private Daemons() {}

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
