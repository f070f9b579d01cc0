package org.amaranthmoor.daemon.target;

import java.io.IOException;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.model.TokenBucket;
import org.amaranthmoor.target.Admission;
import org.apache.hc.core5.http.HttpException;

/**
 * Probes the health check of the target for its current speed while queued requests depend on it.
 *
 * <p>Invariants: at most one probe is in progress at a time; the number of probes in a second does
 * not exceed {@link #PROBES_PER_SECOND} plus {@link #BURST_PROBES}. Safe for use by several
 * threads.
 */
public final class TargetProbe {

  /** Sustained rate of probes: a third of what the platform allows. */
  private static final double PROBES_PER_SECOND = 20;

  /** Probes that may be sent at once in excess of the sustained rate. */
  private static final int BURST_PROBES = 20;

  /** Time between two probes while requests wait for the end of a slow phase, in milliseconds. */
  private static final long PROBE_INTERVAL_MILLIS = 50;

  private final Supplier<Optional<HealthCheckClient.HealthCheck>> healthCheck;
  private final HealthCheckClient client;
  private final TargetDialect dialect;
  private final Admission admission;
  private final ExecutorService executor;
  private final TimeSource time;
  private final EventLog log;
  private final TokenBucket rateLimit;
  private final AtomicBoolean probing = new AtomicBoolean();

  /**
   * Creates a probe.
   *
   * @param healthCheck returns the health check of the target, or empty if there is no target
   * @param client sends the health checks
   * @param dialect interprets the responses
   * @param admission receives the speed of the target
   * @param executor runs the probes
   * @param time the clock
   * @param log receives failed probes
   */
  public TargetProbe(
      Supplier<Optional<HealthCheckClient.HealthCheck>> healthCheck,
      HealthCheckClient client,
      TargetDialect dialect,
      Admission admission,
      ExecutorService executor,
      TimeSource time,
      EventLog log) {
    this.healthCheck = healthCheck;
    this.client = client;
    this.dialect = dialect;
    this.admission = admission;
    this.executor = executor;
    this.time = time;
    this.log = log;
    this.rateLimit = new TokenBucket(PROBES_PER_SECOND, BURST_PROBES, time.nanos());
  }

  /** Starts probing unless it is in progress; the result is passed to the admission. */
  public void probe() {
    if (probing.compareAndSet(false, true)) {
      boolean started = false;
      try {
        executor.execute(this::probeWhileNeeded);
        started = true;
      } finally {
        if (!started) {
          probing.set(false);
        }
      }
    }
  }

  private void probeWhileNeeded() {
    try {
      probeOnce();
      while (admission.waitsForSpeed(time.nanos())) {
        Thread.sleep(PROBE_INTERVAL_MILLIS);
        probeOnce();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      probing.set(false);
    }
  }

  // After any failure, the admission must not wait for this probe any longer.
  private void probeOnce() {
    boolean speedKnown = false;
    try {
      speedKnown = findsSpeed();
    } finally {
      if (!speedKnown) {
        admission.onSpeedUnknown(time.nanos());
      }
    }
  }

  private boolean findsSpeed() {
    Optional<HealthCheckClient.HealthCheck> check = healthCheck.get();
    if (check.isEmpty() || !rateLimit.tryAcquire(time.nanos())) {
      return false;
    }
    try {
      long sentNanos = time.nanos();
      Optional<TargetDialect.HealthReport> report =
          client.send(check.get()).map(dialect::healthReport);
      report
          .map(TargetDialect.HealthReport::coldLeftNanos)
          .ifPresent(
              coldLeft -> coldLeft.ifPresent(left -> admission.onColdReport(left, sentNanos)));
      OptionalDouble factor =
          report.map(TargetDialect.HealthReport::slowdown).orElse(OptionalDouble.empty());
      if (factor.isPresent()) {
        admission.onSlowdown(factor.getAsDouble(), time.nanos());
        return true;
      }
    } catch (IOException | HttpException e) {
      log.warn("target-speed-unknown", () -> "error=" + EventLog.quote(e.toString()));
    }
    return false;
  }
}
