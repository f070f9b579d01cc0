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
  private static final int BURST = 20;

  /**
   * Time to connect, and as long again to answer, in nanoseconds: a target answers at once whatever
   * its load.
   */
  private static final long TIMEOUT_NANOS = 60_000_000L;

  /** Time between two questions while a slow phase is waited out, in milliseconds. */
  private static final long REPEAT_MILLIS = 50;

  /** Length of an answer's body beyond which it is given up, in bytes. */
  private static final int MAX_BODY_BYTES = 4_096;

  /**
   * Where to ask.
   *
   * @param address the target's address
   * @param path the path of its health check
   */
  public record Question(Endpoint address, String path) {}

  private final Supplier<Optional<Question>> question;
  private final TargetConnectionPool connections;
  private final TargetDialect dialect;
  private final Admission admission;
  private final ExecutorService executor;
  private final TimeSource time;
  private final EventLog log;
  private final TokenBucket budget;
  private final AtomicBoolean asking = new AtomicBoolean();

  /**
   * Creates a probe.
   *
   * @param question where to ask, or empty if there is no target
   * @param connections connections to the target
   * @param dialect how the target is spoken to
   * @param admission takes the answers
   * @param executor runs questions
   * @param time the time
   * @param log told of questions without an answer
   */
  public TargetProbe(
      Supplier<Optional<Question>> question,
      TargetConnectionPool connections,
      TargetDialect dialect,
      Admission admission,
      ExecutorService executor,
      TimeSource time,
      EventLog log) {
    this.question = question;
    this.connections = connections;
    this.dialect = dialect;
    this.admission = admission;
    this.executor = executor;
    this.time = time;
    this.log = log;
    this.budget = new TokenBucket(PROBES_PER_SECOND, BURST, time.nanos());
  }

  /** Asks unless a question is under way; the answer goes to the admission. */
  public void ask() {
    if (asking.compareAndSet(false, true)) {
      executor.execute(this::askWhileNeeded);
    }
  }

  private void askWhileNeeded() {
    try {
      askOnce();
      while (admission.waitsForSpeed(time.nanos())) {
        Thread.sleep(REPEAT_MILLIS);
        askOnce();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      asking.set(false);
    }
  }

  private void askOnce() {
    Optional<Question> where = question.get();
    if (where.isEmpty() || !budget.tryTake(time.nanos())) {
      admission.onSpeedUnknown(time.nanos());
      return;
    }
    try {
      OptionalDouble factor = exchange(where.get());
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
  private static boolean isWhole(HttpEntity entity) throws IOException {
    return entity == null
        || entity.getContent().readNBytes(MAX_BODY_BYTES + 1).length <= MAX_BODY_BYTES;
  }

  private OptionalDouble exchange(Question where) throws IOException, HttpException {
    TargetConnection connection = connections.acquire(where.address(), true, TIMEOUT_NANOS);
    boolean whole = false;
    try {
      connection.setTimeoutNanos(TIMEOUT_NANOS);
      BasicClassicHttpRequest request = new BasicClassicHttpRequest("GET", where.path());
      request.setHeader("Host", where.address().toString());
      connection.sendRequestHeader(request);
      connection.flush();
      ClassicHttpResponse response = connection.receiveResponseHeader();
      connection.receiveResponseEntity(response);
      connection.readKeepAlive(response);
      whole = isWhole(response.getEntity()) && TargetExchange.keepsAlive(request, response);
      return dialect.isHealthAnswer(response) ? dialect.slowdown(response) : OptionalDouble.empty();
    } finally {
      if (whole) {
        connections.release(connection);
      } else {
        connection.abort();
      }
    }
  }
}
