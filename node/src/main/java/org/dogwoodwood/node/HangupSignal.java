package org.dogwoodwood.node;

import java.lang.reflect.Proxy;
import java.util.Objects;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.logging.LogEvent;

/** Runs an action at SIGHUP, which would otherwise end the process. */
public final class HangupSignal {

    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private HangupSignal() {}

    /**
     * Sets the action; it runs on a thread of its own.
     *
     * @param action what to do at each signal, not null
     * @param log told if the Java platform does not offer signals, not null
     */
    public static void onHangup(Runnable action, EventLog log) {
        Objects.requireNonNull(action, "action");
        try {
            // The compiler warns of every direct use of these classes, which have no successor.
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
            log.write(LogEvent.HANDLER_FAILED, "message", "SIGHUP is not handled: " + e);
        }
    }
}
