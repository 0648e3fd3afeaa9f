package org.dogwoodwood.soak;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** A kind of trouble in a soak of returning targets; several are played at the same time. */
enum ReturnTrouble {
    CRASH_ONE(4) {
        @Override
        void play(ReturnScene scene) throws IOException, InterruptedException {
            scene.crash(List.of(scene.drawTarget()));
        }
    },
    CRASH_TOGETHER(5) {
        @Override
        void play(ReturnScene scene) throws IOException, InterruptedException {
            scene.crash(scene.targetsOfOneService());
        }
    },
    CRASH_TOGETHER_AGAIN(5) {
        @Override
        void play(ReturnScene scene) throws IOException, InterruptedException {
            List<CrashingTarget> targets = scene.targetsOfOneService();
            int times = 2 + scene.draw(MORE_TIMES);
            for (int i = 0; i < times; i++) {
                scene.crash(targets);
                scene.pause(UP_MILLIS);
            }
        }
    },
    CRASH_IN_TURN(4) {
        @Override
        void play(ReturnScene scene) throws IOException, InterruptedException {
            for (CrashingTarget target : scene.targetsOfOneService()) {
                scene.crash(List.of(target));
                scene.pause(UP_MILLIS);
            }
        }
    },
    CRASH_AFTER_DRAINING(1) {
        @Override
        void play(ReturnScene scene) throws IOException, InterruptedException {
            CrashingTarget target = scene.drawTarget();
            scene.drain(target);
            scene.pause(UP_MILLIS);
            scene.crash(List.of(target));
        }
    },
    HANG(1) {
        @Override
        void play(ReturnScene scene) throws IOException, InterruptedException {
            CrashingTarget target = scene.drawTarget();
            scene.hang(target);
            scene.pause(HANG_MILLIS);
            scene.crash(List.of(target));
        }
    },
    CRASH_AT_CLOCK_STEP(1) {
        @Override
        void play(ReturnScene scene) throws IOException, InterruptedException {
            CrashingTarget target = scene.drawTarget();
            target.setClockSkewMillis(-CLOCK_STEP_MILLIS - scene.draw(CLOCK_STEP_MILLIS));
            scene.crash(List.of(target));
            target.setClockSkewMillis(0);
        }
    },
    KILL_NODES(2) {
        @Override
        void play(ReturnScene scene) throws IOException {
            scene.nodes().send(NodeSignal.KILL, scene.nodes().drawSome());
        }
    },
    SUSPEND_NODES(2) {
        @Override
        void play(ReturnScene scene) throws IOException, InterruptedException {
            scene.nodes().suspend(scene.nodes().drawSome());
        }
    },
    STORE_DOWN(1) {
        @Override
        void play(ReturnScene scene) throws InterruptedException {
            scene.nodes().store().goDown(scene.draw(STORE_MILLIS));
        }
    };

    private static final int MORE_TIMES = 4;
    private static final int UP_MILLIS = 1_500;
    private static final int HANG_MILLIS = 3_000;
    private static final int STORE_MILLIS = 5_000;
    private static final int CLOCK_STEP_MILLIS = 60_000;

    private static final int TOTAL_WEIGHT =
            Arrays.stream(values()).mapToInt(kind -> kind.weight).sum();

    private final int weight;

    ReturnTrouble(int weight) {
        this.weight = weight;
    }

    /** Plays this trouble; returns when its targets are up again. */
    abstract void play(ReturnScene scene) throws IOException, InterruptedException;

    /** Draws a kind; some are drawn more often than others. */
    static ReturnTrouble draw(SplittableRandom random) {
        int die = random.nextInt(TOTAL_WEIGHT);
        for (ReturnTrouble kind : values()) {
            die -= kind.weight;
            if (die < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("The weights do not sum up.");
    }
}
