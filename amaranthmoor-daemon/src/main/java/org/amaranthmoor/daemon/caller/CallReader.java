package org.amaranthmoor.daemon.caller;

import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.OptionalInt;
import java.util.Set;
import org.amaranthmoor.caller.FirstAttemptEstimator;
import org.amaranthmoor.caller.Route;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.HeaderField;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.TimeSource;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;

/**
 * Turns a caller's HTTP request into a call.
 *
 * <p>Stateless but for what is known of first attempts; safe for use by several threads.
 */
final class CallReader {

  private static final String EXPECT = "expect";

  private final CallerDialect dialect;
  private final RunningRequests running;
  private final FirstAttemptEstimator firstAttempts;
  private final TimeSource time;

  CallReader(
      CallerDialect dialect,
      RunningRequests running,
      FirstAttemptEstimator firstAttempts,
      TimeSource time) {
    this.dialect = dialect;
    this.running = running;
    this.firstAttempts = firstAttempts;
    this.time = time;
  }

  /** A call, or why the request is not one. */
  sealed interface Reading {
    /** The request is a call. */
    record Call(CallRequest request) implements Reading {}

    /** The request is wrong. */
    record Wrong(Outcome.NotRun<?> refusal) implements Reading {}
  }

  Reading read(ClassicHttpRequest http, Route route) throws IOException {
    return switch (dialect.read(http, route)) {
      case CallerDialect.Reading.Wrong wrong -> new Reading.Wrong(wrong.refusal());
      case CallerDialect.Reading.Stated stated ->
          new Reading.Call(toCall(http, route, stated.facts()));
    };
  }

  private CallRequest toCall(ClassicHttpRequest http, Route route, CallerDialect.Facts facts)
      throws IOException {
    CallRequest.ParentAttempt parentAttempt = parentAttempt(facts);
    boolean needed = parentAttempt != CallRequest.ParentAttempt.NONE;
    long nowNanos = time.nanos();
    Duration longest = Duration.ofMillis(route.maxTimeoutMillis());
    Duration wait = facts.timeout().orElse(Duration.ofMillis(route.defaultDeadlineMillis()));
    long waitNanos = Math.min(wait.toNanos(), longest.toNanos());
    HttpEntity entity = http.getEntity();
    long length = entity == null ? 0 : entity.getContentLength();
    byte[] prefix = entity == null ? new byte[0] : readPrefix(entity.getContent());
    boolean complete =
        entity == null
            || prefix.length == length
            || (length < 0 && prefix.length < CallRequest.MAX_PREFIX_BYTES);
    return new CallRequest(
        route.service().name(),
        http.getMethod(),
        http.getRequestUri(),
        forwarded(http),
        nowNanos + waitNanos,
        facts.attempt(),
        route.idempotent(),
        needed ? Priority.CRITICAL : route.priority(),
        facts.key(),
        prefix,
        complete,
        complete ? prefix.length : length,
        facts.id(),
        route.rule(),
        nowNanos + Duration.ofMillis(objectiveMillis(route, facts, needed, nowNanos)).toNanos(),
        parentAttempt,
        route.maxAttempts(),
        0);
  }

  private CallRequest.ParentAttempt parentAttempt(CallerDialect.Facts facts) {
    OptionalInt attempt = facts.parent().map(running::attempt).orElseGet(OptionalInt::empty);
    if (attempt.isEmpty()) {
      return CallRequest.ParentAttempt.NONE;
    }
    return attempt.getAsInt() > 1
        ? CallRequest.ParentAttempt.RETRY
        : CallRequest.ParentAttempt.FIRST;
  }

  // What is left of the objective, which counts from the caller's first attempt; negative once it
  // has passed. A call that a running request needs states the rest of that request's wait.
  private long objectiveMillis(
      Route route, CallerDialect.Facts facts, boolean needed, long nowNanos) {
    if (needed || facts.timeout().isEmpty()) {
      return route.objectiveMillis();
    }
    long waitMillis = facts.timeout().get().toMillis();
    return route.objectiveMillis()
        - firstAttempts.millisSinceFirstAttempt(route.rule(), waitMillis, nowNanos);
  }

  private static byte[] readPrefix(InputStream body) throws IOException {
    return body.readNBytes(CallRequest.MAX_PREFIX_BYTES);
  }

  private List<HeaderField> forwarded(ClassicHttpRequest http) {
    Set<String> ofConnection = namedByConnection(http);
    List<HeaderField> fields = new ArrayList<>();
    for (Header header : http.getHeaders()) {
      String name = header.getName().toLowerCase(Locale.ROOT);
      boolean passes =
          !HeaderField.isHopByHop(name) && !name.equals(EXPECT) && !ofConnection.contains(name);
      if (passes && dialect.forwards(name)) {
        fields.add(new HeaderField(header.getName(), header.getValue()));
      }
    }
    fields.addAll(dialect.added());
    return List.copyOf(fields);
  }

  private static Set<String> namedByConnection(ClassicHttpRequest http) {
    Set<String> names = new HashSet<>();
    for (Header header : http.getHeaders("Connection")) {
      for (String name : header.getValue().split(",", -1)) {
        names.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    return names;
  }
}
