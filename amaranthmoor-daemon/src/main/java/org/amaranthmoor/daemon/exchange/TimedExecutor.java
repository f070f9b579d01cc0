package org.amaranthmoor.daemon.exchange;

import java.util.concurrent.Executor;
import java.util.function.LongConsumer;
import org.amaranthmoor.model.TimeSource;

/**
 * Delegates to another executor and measures the scheduling delay of each task: the time from its
 * submission until a thread runs it.
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
   * @param onDelay receives the delay of each task in nanoseconds, on the thread that runs the task
   * @param time the clock
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
