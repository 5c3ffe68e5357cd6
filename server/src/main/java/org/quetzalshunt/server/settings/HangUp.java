package org.quetzalshunt.server.settings;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.tinylog.Logger;

/**
 * The hang-up signal, which tells that the settings file changed. Left alone, the JVM ends on it as on a request to stop,
 * and a reload would cut every request under way.
 */
public final class HangUp {
    private static final String SIGNAL_CLASS = "sun.misc.Signal";
    private static final String HANDLER_CLASS = "sun.misc.SignalHandler";

    private HangUp() {}

    /**
     * Runs an action on each hang-up instead of ending. The JDK's only way to take a signal is a class of its unsupported
     * module, reached by name so that a JVM without it still runs: there the signal stays as it is, which is logged.
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
            Logger.warn("the hang-up signal cannot be taken, and will end this process: {}", cause.toString());
        }
    }
}
