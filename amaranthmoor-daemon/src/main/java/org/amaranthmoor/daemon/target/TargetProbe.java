package org.amaranthmoor.daemon.target;

import java.io.IOException;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.model.TokenBucket;
import org.amaranthmoor.target.Admission;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

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

  /**
   * Timeout of the connect, and again of each read of the response, in nanoseconds: a target
   * responds to its health check at once, whatever its load.
   */
  private static final long TIMEOUT_NANOS = 60_000_000L;

  /** Time between two probes while requests wait for the end of a slow phase, in milliseconds. */
  private static final long PROBE_INTERVAL_MILLIS = 50;

  /** Largest body of a response that is read to its end, in bytes. */
  private static final int MAX_BODY_BYTES = 4_096;

  /**
   * The health check of a target.
   *
   * @param address the address of the target
   * @param path the path of the health check
   */
  public record HealthCheck(Endpoint address, String path) {}

  private final Supplier<Optional<HealthCheck>> healthCheck;
  private final TargetConnectionPool connections;
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
   * @param connections connections to the target
   * @param dialect interprets the responses
   * @param admission receives the speed of the target
   * @param executor runs the probes
   * @param time the clock
   * @param log receives failed probes
   */
  public TargetProbe(
      Supplier<Optional<HealthCheck>> healthCheck,
      TargetConnectionPool connections,
      TargetDialect dialect,
      Admission admission,
      ExecutorService executor,
      TimeSource time,
      EventLog log) {
    this.healthCheck = healthCheck;
    this.connections = connections;
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
      executor.execute(this::probeWhileNeeded);
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

  private void probeOnce() {
    Optional<HealthCheck> check = healthCheck.get();
    if (check.isEmpty() || !rateLimit.tryAcquire(time.nanos())) {
      admission.onSpeedUnknown(time.nanos());
      return;
    }
    try {
      long sentNanos = time.nanos();
      Optional<TargetDialect.HealthReport> report = exchange(check.get());
      report
          .map(TargetDialect.HealthReport::coldLeftNanos)
          .ifPresent(
              coldLeft -> coldLeft.ifPresent(left -> admission.onColdReport(left, sentNanos)));
      OptionalDouble factor =
          report.map(TargetDialect.HealthReport::slowdown).orElse(OptionalDouble.empty());
      if (factor.isPresent()) {
        admission.onSlowdown(factor.getAsDouble(), time.nanos());
        return;
      }
    } catch (IOException | HttpException e) {
      log.warn("target-speed-unknown", () -> "error=" + EventLog.quote(e.toString()));
    }
    admission.onSpeedUnknown(time.nanos());
  }

  // Reads the body and returns whether that was all of it. A body that is longer than a response to
  // a health check can be endless, so the rest is not read.
  private static boolean discardBody(HttpEntity entity) throws IOException {
    return entity == null
        || entity.getContent().readNBytes(MAX_BODY_BYTES + 1).length <= MAX_BODY_BYTES;
  }

  private Optional<TargetDialect.HealthReport> exchange(HealthCheck check)
      throws IOException, HttpException {
    TargetConnection connection = connections.acquire(check.address(), true, TIMEOUT_NANOS);
    boolean reusable = false;
    try {
      connection.setTimeoutNanos(TIMEOUT_NANOS);
      BasicClassicHttpRequest request = new BasicClassicHttpRequest("GET", check.path());
      request.setHeader("Host", check.address().toString());
      connection.sendRequestHeader(request);
      connection.flush();
      ClassicHttpResponse response = connection.receiveResponseHeader();
      connection.receiveResponseEntity(response);
      connection.readKeepAlive(response);
      boolean valid = dialect.isHealthCheckResponse(response);
      reusable =
          discardBody(response.getEntity())
              && valid
              && TargetExchange.keepsAlive(request, response);
      return valid ? Optional.of(dialect.healthReport(response)) : Optional.empty();
    } finally {
      if (reusable) {
        connections.release(connection);
      } else {
        connection.abort();
      }
    }
  }
}
