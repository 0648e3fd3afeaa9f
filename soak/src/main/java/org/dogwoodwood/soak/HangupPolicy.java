package org.dogwoodwood.soak;

import java.util.SplittableRandom;

/** When a process gets SIGHUP, counted from its start. */
enum HangupPolicy {
    /** No process gets SIGHUP around its start. */
    NEVER {
        @Override
        boolean allowedNow(NodeLife life) {
            return false;
        }

        @Override
        void awaitFirst(NodeLife life, SplittableRandom random) {}
    },
    /** SIGHUP comes once the readiness port has answered, or later. */
    FROM_READINESS_PORT {
        @Override
        boolean allowedNow(NodeLife life) {
            return life.history().isOpened();
        }

        @Override
        void awaitFirst(NodeLife life, SplittableRandom random) throws InterruptedException {
            while (life.isAlive() && !life.history().isOpened()) {
                Thread.sleep(POLL_MILLIS);
            }
        }
    },
    /** SIGHUP comes at any time, also while the Java VM starts. */
    FROM_START {
        @Override
        boolean allowedNow(NodeLife life) {
            return true;
        }

        @Override
        void awaitFirst(NodeLife life, SplittableRandom random) throws InterruptedException {
            Thread.sleep(random.nextInt(MAX_FIRST_MILLIS));
        }
    };

    private static final int POLL_MILLIS = 5;
    private static final int MAX_FIRST_MILLIS = 250;
    private static final int MAX_SIGNALS = 4;
    private static final int MAX_GAP_MILLIS = 60;
    private static final int PERCENT = 100;
    private static final int STARTS_WITH_SIGNALS_PERCENT = 40;

    /** Returns whether a process may get SIGHUP now. */
    abstract boolean allowedNow(NodeLife life);

    /** Waits until a process gets its first SIGHUP. */
    abstract void awaitFirst(NodeLife life, SplittableRandom random) throws InterruptedException;

    /** Sends some of the processes that start one SIGHUP or several in a row. */
    void onStart(NodeDaemon daemon, NodeLife life, SplittableRandom random, Counts counts) {
        if (this == NEVER || random.nextInt(PERCENT) >= STARTS_WITH_SIGNALS_PERCENT) {
            return;
        }
        TroubleStep signals =
                () -> {
                    awaitFirst(life, random);
                    int number = random.nextInt(MAX_SIGNALS) + 1;
                    for (int i = 0; i < number && life.isAlive(); i++) {
                        daemon.hangUp();
                        Thread.sleep(random.nextInt(MAX_GAP_MILLIS));
                    }
                };
        Daemons.start("hangups", signals.counting(counts));
    }
}
