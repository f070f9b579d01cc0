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
 * Asks the target for its speed while requests wait to know it.
 *
 * <p>Invariants: one question is under way at a time; over a second there are at most {@link
 * #PROBES_PER_SECOND} and a small burst. Safe for use by several threads.
 */
public final class TargetProbe {

  /** Questions a second in the long run: a third of what the platform allows. */
  private static final double PROBES_PER_SECOND = 20;

  /** Questions that may come at once beyond that. */
  private static final int BURST_PROBES = 20;

  /**
   * Time to connect, and as long again to answer, in nanoseconds: a target answers at once whatever
   * its load.
   */
  private static final long TIMEOUT_NANOS = 60_000_000L;

  /** Time between two questions while a slow phase is waited out, in milliseconds. */
  private static final long PROBE_INTERVAL_MILLIS = 50;

  /** Length of an answer's body beyond which it is given up, in bytes. */
  private static final int MAX_BODY_BYTES = 4_096;

  /**
   * Where to ask.
   *
   * @param address the target's address
   * @param path the path of its health check
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
   * @param healthCheck where to ask, or empty if there is no target
   * @param connections connections to the target
   * @param dialect how the target is spoken to
   * @param admission takes the answers
   * @param executor runs questions
   * @param time the time
   * @param log told of questions without an answer
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

  /** Asks unless a question is under way; the answer goes to the admission. */
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
    if (check.isEmpty() || !rateLimit.tryTake(time.nanos())) {
      admission.onSpeedUnknown(time.nanos());
      return;
    }
    try {
      OptionalDouble factor = exchange(check.get());
      if (factor.isPresent()) {
        admission.onSlowdown(factor.getAsDouble(), time.nanos());
        return;
      }
    } catch (IOException | HttpException e) {
      log.warn("target-speed-unknown", () -> "error=" + EventLog.quote(e.toString()));
    }
    admission.onSpeedUnknown(time.nanos());
  }

  // A body that is longer than an answer to a health check may have no end, and is not read on.
  private static boolean discardBody(HttpEntity entity) throws IOException {
    return entity == null
        || entity.getContent().readNBytes(MAX_BODY_BYTES + 1).length <= MAX_BODY_BYTES;
  }

  private OptionalDouble exchange(HealthCheck check) throws IOException, HttpException {
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
      reusable = discardBody(response.getEntity()) && TargetExchange.keepsAlive(request, response);
      return dialect.isHealthCheckResponse(response)
          ? dialect.slowdown(response)
          : OptionalDouble.empty();
    } finally {
      if (reusable) {
        connections.release(connection);
      } else {
        connection.abort();
      }
    }
  }
}
