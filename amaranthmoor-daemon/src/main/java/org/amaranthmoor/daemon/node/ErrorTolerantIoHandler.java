package org.amaranthmoor.daemon.node;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import java.util.concurrent.locks.LockSupport;
import org.amaranthmoor.daemon.log.FailureLoggingRunner;

/**
 * Input and output of an event loop that continues after an {@link Error}.
 *
 * <p>Netty's own handler continues after an exception, but throws an error, which ends the event
 * loop with all links of the node. What was ready when the error occurred is still ready in the
 * next run. Used by the thread of the event loop, except for waking it up.
 */
final class ErrorTolerantIoHandler implements IoHandler {

  /** Pause after an error, so that a loop that only fails leaves processor time to others. */
  private static final long PAUSE_NANOS = 1_000_000L;

  private final IoHandler handler;
  private final FailureLoggingRunner failures;

  /**
   * Creates a handler.
   *
   * @param handler does the input and output
   * @param failures logs the errors
   */
  ErrorTolerantIoHandler(IoHandler handler, FailureLoggingRunner failures) {
    this.handler = handler;
    this.failures = failures;
  }

  @Override
  public int run(IoHandlerContext context) {
    try {
      return handler.run(context);
    } catch (RuntimeException | Error e) {
      failures.onFailure("event-loop-failed", e);
      LockSupport.parkNanos(PAUSE_NANOS);
      return 0;
    }
  }

  @Override
  public void initialize() {
    handler.initialize();
  }

  @Override
  public void prepareToDestroy() {
    handler.prepareToDestroy();
  }

  @Override
  public void destroy() {
    handler.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return handler.register(handle);
  }

  @Override
  public void wakeup() {
    handler.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> handleType) {
    return handler.isCompatible(handleType);
  }
}
