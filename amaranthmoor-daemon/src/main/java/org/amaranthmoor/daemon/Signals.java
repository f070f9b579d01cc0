package org.amaranthmoor.daemon;

import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Runs actions at signals of the operating system.
 *
 * <p>A stop by a signal is handled here and not in a shutdown hook, because the JDK's logging
 * closes in a hook of its own, and the lines of a stop would be lost. Stateless; safe for use by
 * several threads.
 */
public final class Signals {

  private static final String RELOAD = "HUP";
  private static final String[] STOP = {"TERM", "INT"};

  private Signals() {}

  /**
   * Runs an action each time that the process is told to read its settings again; without one, that
   * signal would end the process.
   *
   * @param action the action
   * @throws ReflectiveOperationException if this JDK handles no signals
   */
  public static void onReload(Runnable action) throws ReflectiveOperationException {
    handle(RELOAD, action);
  }

  /**
   * Runs an action once, the first time that the process is told to stop; it must end the process.
   *
   * @param action the action
   * @throws ReflectiveOperationException if this JDK handles no signals
   */
  public static void onStop(Runnable action) throws ReflectiveOperationException {
    AtomicBoolean begun = new AtomicBoolean();
    for (String signal : STOP) {
      handle(
          signal,
          () -> {
            if (begun.compareAndSet(false, true)) {
              action.run();
            }
          });
    }
  }

  // The JDK's signal handling has no public form, and the compiler warns of any direct use.
  private static void handle(String name, Runnable action) throws ReflectiveOperationException {
    Class<?> signal = Class.forName("sun.misc.Signal");
    Class<?> handler = Class.forName("sun.misc.SignalHandler");
    Object proxy =
        Proxy.newProxyInstance(
            handler.getClassLoader(),
            new Class<?>[] {handler},
            (self, method, arguments) -> {
              if (method.getName().equals("handle")) {
                action.run();
              }
              return null;
            });
    Object changed = signal.getConstructor(String.class).newInstance(name);
    signal.getMethod("handle", signal, handler).invoke(null, changed, proxy);
  }
}
