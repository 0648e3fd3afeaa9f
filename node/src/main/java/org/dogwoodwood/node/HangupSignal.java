package org.dogwoodwood.node;

import java.lang.reflect.Proxy;
import java.util.Objects;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;

/** Runs an action on SIGHUP, which would otherwise terminate the process. */
public final class HangupSignal {

    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private HangupSignal() {}

    /**
     * Registers the action, which runs on a separate thread at each signal.
     *
     * @param action the action, not null
     * @param log receives an event if the Java platform does not support signal handlers, not null
     */
    public static void onHangup(Runnable action, EventLog log) {
        Objects.requireNonNull(action, "action");
        try {
            // Reflection, because javac warns about each direct use of these classes, which have
            // no replacement.
            Class<?> signalClass = Class.forName(SIGNAL_CLASS);
            Class<?> handlerClass = Class.forName(HANDLER_CLASS);
            Object handler =
                    Proxy.newProxyInstance(
                            HangupSignal.class.getClassLoader(),
                            new Class<?>[] {handlerClass},
                            (proxy, method, arguments) -> {
                                action.run();
                                return null;
                            });
            Object hangup = signalClass.getConstructor(String.class).newInstance("HUP");
            signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, hangup, handler);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            log.write(LogEvent.HANDLER_FAILED, "message", "Cannot install a SIGHUP handler: " + e);
        }
    }
}
