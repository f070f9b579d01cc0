package org.amaranthmoor.daemon.exchange;

import java.util.concurrent.Executor;
import java.util.function.LongConsumer;
import org.amaranthmoor.model.TimeSource;

/**
 * Runs tasks on another executor and measures how long each has waited for the processor.
 *
 * <p>Safe for use by several threads.
 */
public final class TimedExecutor implements Executor {

  private final Executor executor;
  private final LongConsumer onDelay;
  private final TimeSource time;

  /**
   * Creates an executor.
   *
   * @param executor runs the tasks
   * @param onDelay receives each wait in nanoseconds, on the task's thread
   * @param time the time
   */
  public TimedExecutor(Executor executor, LongConsumer onDelay, TimeSource time) {
    this.executor = executor;
    this.onDelay = onDelay;
    this.time = time;
  }

  @Override
  public void execute(Runnable task) {
    long submittedNanos = time.nanos();
    executor.execute(
        () -> {
          onDelay.accept(time.nanos() - submittedNanos);
          task.run();
        });
  }
}
