package org.quetzalshunt.server.settings;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * Handles the signal SIGHUP, which announces a change of the settings file. By default the JVM shuts down on it, so
 * that a reload would abort every request in progress.
 */
public final class SighupHandler {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private SighupHandler() {}

    /**
     * Runs an action on each SIGHUP instead of shutting down. The only signal API of the JDK is a class of its
     * unsupported module. It is loaded by name so that a JVM without it still runs; there the default stays in effect,
     * which is logged.
     */
    public static void handle(Runnable action) {
        try {
            Class<?> signal = Class.forName(SIGNAL_CLASS);
            Class<?> handler = Class.forName(HANDLER_CLASS);
            Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
            Object proxy = Proxy.newProxyInstance(
                    handler.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    });
            signal.getMethod("handle", signal, handler).invoke(null, hangUp, proxy);
        } catch (ReflectiveOperationException | IllegalArgumentException unavailable) {
            Throwable cause = unavailable instanceof InvocationTargetException ? unavailable.getCause() : unavailable;
            Logger.warn(
                    "cannot install a handler for SIGHUP, which will therefore end this process: {}", cause.toString());
        }
    }
}
