package org.dogwoodwood.soak;

import java.io.IOException;

/** A signal that a soak sends to the process of a node. */
enum NodeSignal {
    /** SIGHUP: the settings have changed. */
    HANGUP {
        @Override
        void send(Process process) throws IOException {
            sendByCommand("-HUP", process);
        }
    },
    /** SIGTERM: the process is to end within the grace time. */
    TERMINATE {
        @Override
        void send(Process process) {
            process.destroy();
        }
    },
    /** SIGKILL: the process ends at once. */
    KILL {
        @Override
        void send(Process process) {
            process.destroyForcibly();
        }
    },
    /** SIGSTOP: the process stands still. */
    SUSPEND {
        @Override
        void send(Process process) throws IOException {
            sendByCommand("-STOP", process);
        }
    },
    /** SIGCONT: the process goes on. */
    RESUME {
        @Override
        void send(Process process) throws IOException {
            sendByCommand("-CONT", process);
        }
    };

    /** Sends the signal to a process that is alive. */
    abstract void send(Process process) throws IOException;

    // The Java platform has no call for these signals.
    private static void sendByCommand(String option, Process process) throws IOException {
        new ProcessBuilder("kill", option, Long.toString(process.pid())).start();
    }
}
