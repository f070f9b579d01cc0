package org.amaranthmoor.daemon.log;

/**
 * Runs tasks whose failure is logged and ends only the task, as one that is repeated must.
 *
 * <p>Stateless but for its log; safe for use by several threads.
 *
 * @param log told of each failure
 */
public record FailureLoggingRunner(EventLog log) {

  /**
   * Runs a task.
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
