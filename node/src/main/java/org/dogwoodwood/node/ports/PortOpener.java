package org.dogwoodwood.node.ports;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.UnknownHostException;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.settings.Endpoint;

/**
 * Opens listening ports. A port that is in use, by a process that has not ended yet or by an
 * outgoing connection, is tried again until it is free. May be used on any thread.
 */
public final class PortOpener {

    private final Vertx vertx;
    private final PortWait wait;
    private final EventLog log;
    private final List<PortAttempts> ports = new CopyOnWriteArrayList<>();
    private volatile boolean stopped;

    private PortOpener(Vertx vertx, PortWait wait, EventLog log) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.wait = Objects.requireNonNull(wait, "wait");
        this.log = Objects.requireNonNull(log, "log");
    }

    /**
     * Returns an opener without ports.
     *
     * @param vertx the event loops, not null
     * @param wait how long it waits for each port, not null
     * @param log receives an event when a port cannot be opened and when it is open at last, not
     *     null
     */
    public static PortOpener create(Vertx vertx, PortWait wait, EventLog log) {
        return new PortOpener(vertx, wait, log);
    }

    /**
     * Opens a port.
     *
     * @param name the name of the port in logs and errors, not null
     * @param address the address, not null
     * @param listen starts to listen and returns the port in use; called for each attempt, on the
     *     context of the caller, and must release what a failed attempt holds
     * @return the port in use; fails if the address is not usable, if the wait is over or if {@link
     *     #stopWaiting} is called while the port is in use
     */
    public Future<Integer> open(String name, Endpoint address, Supplier<Future<Integer>> listen) {
        PortAttempts port =
                new PortAttempts(
                        vertx.getOrCreateContext(),
                        name,
                        address,
                        listen,
                        failure -> !stopped && canPass(failure),
                        wait,
                        log);
        ports.add(port);
        return port.start();
    }

    /** Returns a future that completes when all ports that were to be opened are open. */
    public Future<Void> allOpen() {
        return Future.all(ports.stream().map(PortAttempts::result).toList()).mapEmpty();
    }

    /**
     * Returns the number of ports that are in use by others, so that this opener waits for them.
     */
    public int waitingPorts() {
        return (int) ports.stream().filter(PortAttempts::isWaiting).count();
    }

    /** Gives up the ports that are in use, at once and from now on. */
    public void stopWaiting() {
        stopped = true;
        ports.forEach(PortAttempts::stopWaiting);
    }

    // An address that is in use, or a lack of descriptors, passes; an address that does not exist
    // or cannot be read does not.
    private static boolean canPass(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof UnknownHostException) {
                return false;
            }
            if (cause instanceof IOException) {
                return true;
            }
        }
        return false;
    }
}
