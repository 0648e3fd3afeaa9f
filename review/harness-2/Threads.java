/** Starts threads that do not keep the process alive; a failure ends only its thread. */
final class Threads {

    /** What a thread does. */
    interface Body {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread run(Body body) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                body.run();
                            } catch (Exception e) {
                                // A connection has broken or the case has ended.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
