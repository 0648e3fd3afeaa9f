package org.dogwoodwood.node;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicReference;

/** Runs an action at SIGTERM, before the Java VM ends the process. */
final class TerminationSignal {

    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private TerminationSignal() {}

    /**
     * Registers the action. Does nothing if the Java platform does not support signal handlers.
     *
     * @param action must not block, not null
     */
    static void beforeEnd(Runnable action) {
        try {
            // Reflection, because javac warns about each direct use of these classes, which have
            // no replacement.
            Class<?> signalClass = Class.forName(SIGNAL_CLASS);
            Class<?> handlerClass = Class.forName(HANDLER_CLASS);
            Method handle = handlerClass.getMethod("handle", signalClass);
            AtomicReference<Object> previous = new AtomicReference<>();
            InvocationHandler handler =
                    (proxy, method, arguments) -> {
                        if (!method.equals(handle)) {
                            return null;
                        }
                        action.run();
                        return handle.invoke(previous.get(), arguments);
                    };
            Object proxy =
                    Proxy.newProxyInstance(
                            TerminationSignal.class.getClassLoader(),
                            new Class<?>[] {handlerClass},
                            handler);
            Object signal = signalClass.getConstructor(String.class).newInstance("TERM");
            previous.set(
                    signalClass
                            .getMethod("handle", signalClass, handlerClass)
                            .invoke(null, signal, proxy));
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            // The cause of an end by SIGTERM is then UNRECORDED.
            return;
        }
    }
}
