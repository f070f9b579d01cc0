package org.amaranthmoor.daemon.mesh;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.target.HealthCheckClient;
import org.amaranthmoor.daemon.target.TargetDialect;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.target.TargetLifecycle;
import org.amaranthmoor.target.TargetRun;
import org.apache.hc.core5.http.HttpException;

/**
 * Decides after a restart of this node whether the run that reports itself can be trusted.
 *
 * <p>The shared records may lack a leave that an earlier process acknowledged while they were
 * unavailable, and a report may have been sent before that leave. Once the records have been read,
 * the target is therefore asked by a health check whether it is leaving. Invariant: the history
 * counts as known only after the newest run has confirmed that it is not leaving. Safe for use by
 * several threads.
 */
final class RestartConfirmation {

  /** Time between two health checks while the target does not confirm its run, in nanoseconds. */
  private static final long RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final TargetLifecycle lifecycle;
  private final Function<TargetLifecycle.Report, Optional<HealthCheckClient.HealthCheck>> checks;
  private final HealthCheckClient client;
  private final TargetDialect dialect;
  private final Executor executor;
  private final TimeSource time;
  private final EventLog log;
  private final AtomicBoolean checking = new AtomicBoolean();
  private volatile boolean recordsComplete;
  private volatile long nextCheckNanos;

  /**
   * Creates a confirmation.
   *
   * @param lifecycle the reports of the target
   * @param checks returns the health check of the target that sent a report, if it is configured
   * @param client sends the health checks
   * @param dialect interprets the responses
   * @param executor runs the health checks
   * @param time the clock
   * @param log receives the result
   */
  RestartConfirmation(
      TargetLifecycle lifecycle,
      Function<TargetLifecycle.Report, Optional<HealthCheckClient.HealthCheck>> checks,
      HealthCheckClient client,
      TargetDialect dialect,
      Executor executor,
      TimeSource time,
      EventLog log) {
    this.lifecycle = lifecycle;
    this.checks = checks;
    this.client = client;
    this.dialect = dialect;
    this.executor = executor;
    this.time = time;
    this.log = log;
    this.nextCheckNanos = time.nanos();
  }

  /** Records that the shared records contain each leave that was ever stored there. */
  void onRecordsComplete() {
    recordsComplete = true;
  }

  /**
   * Starts a health check if the newest run waits for one. Does not block.
   *
   * @param onConfirmed called once the history is known
   */
  void checkIfNeeded(Runnable onConfirmed) {
    if (!recordsComplete || lifecycle.historyKnown() || time.nanos() - nextCheckNanos < 0) {
      return;
    }
    Optional<TargetLifecycle.Report> report =
        lifecycle.newest().filter(newest -> !newest.leaving() && !lifecycle.isGone(newest.run()));
    if (report.isPresent() && checking.compareAndSet(false, true)) {
      startCheck(report.get(), onConfirmed);
    }
  }

  private void startCheck(TargetLifecycle.Report report, Runnable onConfirmed) {
    boolean started = false;
    try {
      executor.execute(() -> check(report, onConfirmed));
      started = true;
    } finally {
      if (!started) {
        checking.set(false);
      }
    }
  }

  private void check(TargetLifecycle.Report report, Runnable onConfirmed) {
    try {
      if (isConfirmed(report)) {
        lifecycle.onHistoryKnown();
        onConfirmed.run();
      }
    } finally {
      nextCheckNanos = time.nanos() + RETRY_INTERVAL_NANOS;
      checking.set(false);
    }
  }

  private boolean isConfirmed(TargetLifecycle.Report report) {
    TargetRun run = report.run();
    boolean confirmed = false;
    try {
      Optional<HealthCheckClient.HealthCheck> check = checks.apply(report);
      confirmed =
          check.isPresent()
              && client.send(check.get()).filter(head -> dialect.confirmsRun(head, run)).isPresent()
              && lifecycle.newest().map(TargetLifecycle.Report::run).equals(Optional.of(run));
    } catch (IOException | HttpException e) {
      log.warn(
          "run-unconfirmed",
          () -> "run=" + EventLog.quote(run.id()) + " error=" + EventLog.quote(e.toString()));
      return false;
    }
    boolean result = confirmed;
    log.info("run-confirmation", () -> "run=" + EventLog.quote(run.id()) + " confirmed=" + result);
    return confirmed;
  }
}
