package org.amaranthmoor.daemon.log;

/**
 * Runs tasks and logs their exceptions, so that a failure does not end the schedule of a repeated
 * task.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param log receives a line for each failure
 */
public record FailureLoggingRunner(EventLog log) {

  /**
   * Runs a task; a runtime exception is logged and not thrown.
   *
   * @param task the task
   */
  public void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      log.warn("task-failed", () -> "error=" + EventLog.quote(e.toString()));
    }
  }
}
