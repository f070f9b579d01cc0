package org.amaranthmoor.daemon.log;

import java.util.concurrent.locks.LockSupport;

/**
 * Runs tasks and logs their failures, so that a failure does not end the thread or the schedule of
 * a repeated task.
 *
 * <p>An {@link Error} counts as a failure like any other: on a full heap any statement may throw
 * one. Invariant: no method throws. Immutable and safe for use by several threads.
 *
 * @param log receives a line for each failure
 * @param listener receives each failure
 */
public record FailureLoggingRunner(EventLog log, ErrorListener listener) {

  /** Pause after a failure, in nanoseconds. */
  private static final long PAUSE_NANOS = 1_000_000;

  /**
   * Creates a runner without a listener.
   *
   * @param log receives a line for each failure
   */
  public FailureLoggingRunner(EventLog log) {
    this(log, ErrorListener.NONE);
  }

  /**
   * Runs a task; a failure is logged and not thrown.
   *
   * @param task the task
   */
  public void run(Runnable task) {
    run("task-failed", task);
  }

  /**
   * Runs a task; a failure is logged and not thrown.
   *
   * @param event the name of the event that is logged if the task fails
   * @param task the task
   */
  public void run(String event, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      onFailure(event, e);
    }
  }

  /**
   * Logs a failure that the caller survives, and pauses for a millisecond.
   *
   * @param event the name of the event
   * @param failure the failure
   */
  public void onFailure(String event, Throwable failure) {
    try {
      listener.onError(failure);
      log.warn(event, () -> "error=" + EventLog.quote(failure.toString()));
      // A loop whose every step fails must not keep the processor from those that free memory.
      LockSupport.parkNanos(PAUSE_NANOS);
    } catch (RuntimeException | Error e) {
      // Only the line is lost.
    }
  }
}
