package org.dogwoodwood.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.dogwoodwood.node.settings.Endpoint;

/**
 * Chooses free ports below those that the system gives to outgoing connections, so that a node that
 * starts again finds its ports free.
 */
final class FreePorts {

    private static final int FIRST = 15_000;
    private static final int LAST = 31_999;
    private static final int STEP_PER_PROCESS = 97;

    private int next =
            FIRST + (int) (ProcessHandle.current().pid() * STEP_PER_PROCESS % (LAST - FIRST));

    /** Returns an address of 127.0.0.1 that nothing listens on. */
    Endpoint next() throws IOException {
        for (int tries = 0; tries < LAST - FIRST; tries++) {
            int port = next;
            next = port == LAST ? FIRST : port + 1;
            if (isFree(port)) {
                return Endpoint.of("127.0.0.1", port);
            }
        }
        throw new IOException("No port is free.");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
