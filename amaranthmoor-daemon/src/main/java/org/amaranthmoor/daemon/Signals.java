package org.amaranthmoor.daemon;

import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Runs actions on signals of the operating system.
 *
 * <p>A stop by a signal is handled here and not in a shutdown hook, because the JDK's logging shuts
 * down in a hook of its own and would lose the log lines of the stop. Stateless; safe for use by
 * several threads.
 */
public final class Signals {

  private static final String RELOAD_SIGNAL = "HUP";
  private static final String[] STOP_SIGNALS = {"TERM", "INT"};

  private Signals() {}

  /**
   * Runs an action on each SIGHUP, which requests that the settings are read again. Without an
   * action, SIGHUP ends the process.
   *
   * @param action the action
   * @throws ReflectiveOperationException if this JDK handles no signals
   */
  public static void onReload(Runnable action) throws ReflectiveOperationException {
    handle(RELOAD_SIGNAL, action);
  }

  /**
   * Runs an action once, on the first SIGTERM or SIGINT; the action must end the process.
   *
   * @param action the action
   * @throws ReflectiveOperationException if this JDK handles no signals
   */
  public static void onStop(Runnable action) throws ReflectiveOperationException {
    AtomicBoolean stopBegun = new AtomicBoolean();
    for (String signal : STOP_SIGNALS) {
      handle(
          signal,
          () -> {
            if (stopBegun.compareAndSet(false, true)) {
              action.run();
            }
          });
    }
  }

  // The JDK has no public API for signals. The internal one is used by reflection because the
  // compiler warns of any direct use.
  private static void handle(String signalName, Runnable action)
      throws ReflectiveOperationException {
    Class<?> signalClass = Class.forName("sun.misc.Signal");
    Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
    Object proxy =
        Proxy.newProxyInstance(
            handlerClass.getClassLoader(),
            new Class<?>[] {handlerClass},
            (self, method, arguments) -> {
              if (method.getName().equals("handle")) {
                action.run();
              }
              return null;
            });
    Object handledSignal = signalClass.getConstructor(String.class).newInstance(signalName);
    signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, handledSignal, proxy);
  }
}
