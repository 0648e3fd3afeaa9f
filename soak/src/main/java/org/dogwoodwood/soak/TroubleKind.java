package org.dogwoodwood.soak;

import java.io.IOException;

/** A kind of trouble; several may be played at the same time. */
enum TroubleKind {
    HANGUP(6) {
        @Override
        void play(TroubleScene scene) throws IOException, InterruptedException {
            scene.hangUp(scene.drawSome());
        }
    },
    HANGUP_ALL(3) {
        @Override
        void play(TroubleScene scene) throws IOException, InterruptedException {
            scene.hangUp(scene.all());
        }
    },
    SETTINGS_WITHOUT_SIGNAL(2) {
        @Override
        void play(TroubleScene scene) throws IOException {
            for (SoakVm vm : scene.drawSome()) {
                vm.rewriteSettings();
            }
        }
    },
    TERMINATE(4) {
        @Override
        void play(TroubleScene scene) throws IOException {
            scene.terminate(scene.drawSome());
        }
    },
    TERMINATE_WITH_HANGUPS(3) {
        @Override
        void play(TroubleScene scene) throws IOException, InterruptedException {
            var vms = scene.drawSome();
            scene.terminate(vms);
            scene.pause(LONG_STOP_MILLIS);
            scene.hangUp(vms);
        }
    },
    TERMINATE_TWICE(2) {
        @Override
        void play(TroubleScene scene) throws IOException, InterruptedException {
            var vms = scene.drawSome();
            scene.terminate(vms);
            scene.pause(LONG_STOP_MILLIS);
            scene.terminate(vms);
        }
    },
    TERMINATE_IN_TURN(1) {
        @Override
        void play(TroubleScene scene) throws IOException, InterruptedException {
            for (SoakVm vm : scene.all()) {
                vm.node().terminate();
                scene.pause(MAX_TURN_MILLIS);
            }
        }
    },
    TERMINATE_ALL(1) {
        @Override
        void play(TroubleScene scene) throws IOException {
            scene.terminate(scene.all());
        }
    },
    KILL(4) {
        @Override
        void play(TroubleScene scene) throws IOException {
            scene.send(NodeSignal.KILL, scene.drawSome());
        }
    },
    KILL_HALF(2) {
        @Override
        void play(TroubleScene scene) throws IOException {
            scene.send(NodeSignal.KILL, scene.drawHalf());
        }
    },
    KILL_ALL(1) {
        @Override
        void play(TroubleScene scene) throws IOException {
            scene.send(NodeSignal.KILL, scene.all());
        }
    },
    SUSPEND(4) {
        @Override
        void play(TroubleScene scene) throws IOException, InterruptedException {
            scene.suspend(scene.drawSome());
        }
    },
    SUSPEND_HALF(1) {
        @Override
        void play(TroubleScene scene) throws IOException, InterruptedException {
            scene.suspend(scene.drawHalf());
        }
    },
    STORE_DOWN(2) {
        @Override
        void play(TroubleScene scene) throws InterruptedException {
            scene.store().goDown(scene.draw(MAX_STORE_MILLIS));
        }
    },
    STORE_LOSES_RESPONSES(2) {
        @Override
        void play(TroubleScene scene) throws InterruptedException {
            scene.store().loseResponses(scene.draw(MAX_STORE_MILLIS));
        }
    },
    STORE_SILENT(2) {
        @Override
        void play(TroubleScene scene) {
            scene.store().silenceConnections();
        }
    },
    STORE_COMPACTED(1) {
        @Override
        void play(TroubleScene scene) {
            scene.store().compact();
        }
    },
    CONFIGURATION(3) {
        @Override
        void play(TroubleScene scene) throws InterruptedException {
            int versions = scene.draw(MAX_VERSIONS) + 1;
            for (int i = 0; i < versions; i++) {
                scene.store().publishNext(scene.draw(MAX_VERSIONS));
                scene.pause(MAX_TURN_MILLIS);
            }
        }
    };

    private static final int LONG_STOP_MILLIS = 4_000;
    private static final int MAX_TURN_MILLIS = 800;
    private static final int MAX_STORE_MILLIS = 5_000;
    private static final int MAX_VERSIONS = 4;

    private final int weight;

    TroubleKind(int weight) {
        this.weight = weight;
    }

    /** Plays this trouble; returns when it is over or the platform does the rest. */
    abstract void play(TroubleScene scene) throws IOException, InterruptedException;

    /** Returns how often this kind is drawn, relative to the others. */
    int weight() {
        return weight;
    }
}
