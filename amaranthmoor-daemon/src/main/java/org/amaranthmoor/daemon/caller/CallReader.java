package org.amaranthmoor.daemon.caller;

import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.amaranthmoor.caller.CallHeaders;
import org.amaranthmoor.caller.Route;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.HeaderField;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.target.KeyLedger;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;

/**
 * Turns a caller's HTTP request into a call.
 *
 * <p>Stateless but for the time; safe for use by several threads.
 */
final class CallReader {

  /** Longest deadline that is taken over from a caller. */
  private static final Duration MAX_DEADLINE = Duration.ofHours(1);

  private static final Set<String> NOT_FORWARDED =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "transfer-encoding",
          "content-length",
          "te",
          "trailer",
          "upgrade",
          "expect",
          "grpc-timeout",
          "amaranthmoor-attempt");

  private final TimeSource time;

  CallReader(TimeSource time) {
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
    Optional<Duration> wait = deadline(http);
    boolean stated = http.containsHeader(CallHeaders.TIMEOUT);
    if (stated && wait.isEmpty()) {
      return wrong(CallHeaders.TIMEOUT + " must be digits and one of H, M, S, m, u, n");
    }
    Optional<IdempotencyKey> key =
        header(http, CallHeaders.IDEMPOTENCY_KEY).flatMap(IdempotencyKey::parse);
    if (!route.idempotent() && http.containsHeader(CallHeaders.IDEMPOTENCY_KEY)) {
      if (key.isEmpty()) {
        return wrong(CallHeaders.IDEMPOTENCY_KEY + " must be a UUID of version 7");
      }
      if (key.get().madeAtMillis() > time.wallMillis() + KeyLedger.MAX_CLOCK_SKEW_MILLIS) {
        return wrong(CallHeaders.IDEMPOTENCY_KEY + " was made in the future");
      }
    }
    return new Reading.Call(toCall(http, route, wait, route.idempotent() ? Optional.empty() : key));
  }

  private static Reading wrong(String detail) {
    return new Reading.Wrong(new Outcome.NotRun<>(ResultCode.BAD_HEADER, 0, detail));
  }

  private CallRequest toCall(
      ClassicHttpRequest http, Route route, Optional<Duration> wait, Optional<IdempotencyKey> key)
      throws IOException {
    long waitNanos = wait.orElse(Duration.ofMillis(route.defaultDeadlineMillis())).toNanos();
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
        time.nanos() + Math.min(waitNanos, MAX_DEADLINE.toNanos()),
        attempt(http),
        route.idempotent(),
        route.priority(),
        key,
        prefix,
        complete,
        complete ? prefix.length : length);
  }

  private static byte[] readPrefix(InputStream body) throws IOException {
    return body.readNBytes(CallRequest.MAX_PREFIX_BYTES);
  }

  private static Optional<Duration> deadline(ClassicHttpRequest http) {
    Optional<String> timeout = header(http, CallHeaders.TIMEOUT);
    if (timeout.isPresent()) {
      return CallHeaders.parseTimeout(timeout.get());
    }
    return header(http, CallHeaders.PREFER).flatMap(CallHeaders::parsePreferWait);
  }

  private static int attempt(ClassicHttpRequest http) {
    String text = header(http, CallHeaders.ATTEMPT).orElse("1");
    boolean plain = text.length() <= 4 && text.chars().allMatch(c -> c >= '0' && c <= '9');
    return plain && !text.isEmpty() ? Math.max(1, Integer.parseInt(text)) : 1;
  }

  private static Optional<String> header(ClassicHttpRequest http, String name) {
    return Optional.ofNullable(http.getFirstHeader(name)).map(Header::getValue);
  }

  private static List<HeaderField> forwarded(ClassicHttpRequest http) {
    List<HeaderField> fields = new ArrayList<>();
    for (Header header : http.getHeaders()) {
      if (!NOT_FORWARDED.contains(header.getName().toLowerCase(Locale.ROOT))) {
        fields.add(new HeaderField(header.getName(), header.getValue()));
      }
    }
    return List.copyOf(fields);
  }
}
