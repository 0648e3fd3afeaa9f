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
     * Ignores SIGHUP until an action is registered. To be called by the first statement of a main
     * class, since a signal that comes earlier ends the process. Has no effect if the Java platform
     * does not support signal handlers.
     */
    public static void ignore() {
        try {
            // The constant needs no proxy class, whose creation takes tens of milliseconds.
            handle(Class.forName(HANDLER_CLASS).getField("SIG_IGN").get(null));
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            // onHangup logs the same failure; there is no log yet.
        }
    }

    /**
     * Registers the action, which runs on a separate thread at each signal.
     *
     * @param action the action, not null
     * @param log receives an event if the Java platform does not support signal handlers, not null
     */
    public static void onHangup(Runnable action, EventLog log) {
        Objects.requireNonNull(action, "action");
        try {
            Class<?> handlerClass = Class.forName(HANDLER_CLASS);
            Object handler =
                    Proxy.newProxyInstance(
                            HangupSignal.class.getClassLoader(),
                            new Class<?>[] {handlerClass},
                            (proxy, method, arguments) -> {
                                action.run();
                                return null;
                            });
            handle(handler);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            log.write(LogEvent.HANDLER_FAILED, "message", "Cannot install a SIGHUP handler: " + e);
        }
    }

    // Reflection, because javac warns about each direct use of these classes, which have no
    // replacement.
    private static void handle(Object handler) throws ReflectiveOperationException {
        Class<?> signalClass = Class.forName(SIGNAL_CLASS);
        Object hangup = signalClass.getConstructor(String.class).newInstance("HUP");
        signalClass
                .getMethod("handle", signalClass, Class.forName(HANDLER_CLASS))
                .invoke(null, hangup, handler);
    }
}
