package org.amaranthmoor.daemon.caller;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.caller.CallHeaders;
import org.amaranthmoor.caller.Route;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.HeaderField;
import org.amaranthmoor.model.CallId;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.target.KeyLedger;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;

/**
 * The project's own interface for callers, as the user guide states it.
 *
 * <p>Stateless but for the time; safe for use by several threads.
 */
public final class OwnCallerDialect implements CallerDialect {

  private static final long MILLIS_PER_SECOND = 1_000;

  /**
   * Least time after which a caller may come back where nothing better is known, in milliseconds.
   */
  private static final long MIN_RETRY_AFTER_MILLIS = 100;

  /** Time over which the returns of callers are spread, in milliseconds. */
  private static final long RETRY_AFTER_SPREAD_MILLIS = 900;

  private static final Set<String> OWN_HEADERS = Set.of("grpc-timeout", "amaranthmoor-attempt");

  private final TimeSource time;

  /**
   * Creates the dialect.
   *
   * @param time the time
   */
  public OwnCallerDialect(TimeSource time) {
    this.time = time;
  }

  @Override
  public Reading read(ClassicHttpRequest http, Route route) {
    Optional<Duration> wait = deadline(http);
    if (http.containsHeader(CallHeaders.TIMEOUT) && wait.isEmpty()) {
      return wrong(CallHeaders.TIMEOUT + " must be digits and one of H, M, S, m, u, n");
    }
    Optional<IdempotencyKey> key =
        header(http, CallHeaders.IDEMPOTENCY_KEY).flatMap(IdempotencyKey::parse);
    if (!route.idempotent() && http.containsHeader(CallHeaders.IDEMPOTENCY_KEY)) {
      if (key.isEmpty()) {
        return wrong(CallHeaders.IDEMPOTENCY_KEY + " must be a UUID of version 7");
      }
      if (key.get().createdAtMillis() > time.wallMillis() + KeyLedger.MAX_CLOCK_SKEW_MILLIS) {
        return wrong(CallHeaders.IDEMPOTENCY_KEY + " was made in the future");
      }
    }
    Optional<IdempotencyKey> used = route.idempotent() ? Optional.empty() : key;
    return new Reading.Stated(new Facts(CallId.NONE, Optional.empty(), wait, used, attempt(http)));
  }

  private static Reading wrong(String detail) {
    return new Reading.Wrong(new Outcome.NotRun<>(ResultCode.BAD_HEADER, 0, detail));
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

  @Override
  public boolean forwards(String lowerCaseName) {
    return !OWN_HEADERS.contains(lowerCaseName);
  }

  @Override
  public List<HeaderField> added() {
    return List.of();
  }

  @Override
  public void complete(ClassicHttpResponse response, Optional<Server> server) {
    response.setHeader(CallHeaders.OUTCOME, "answered");
    server.ifPresent(found -> response.setHeader(CallHeaders.TARGET, found.target().value()));
  }

  @Override
  public OptionalDouble acceptedWaitShare() {
    return OptionalDouble.empty();
  }

  @Override
  public ClassicHttpResponse refusal(Outcome.NotRun<?> notRun) {
    boolean invalid = notRun.code().kind() == ResultCode.Kind.INVALID;
    ClassicHttpResponse response = failure(notRun.code(), "not-run", notRun.detail());
    if (!invalid) {
      long millis =
          notRun.retryAfterMillis() > 0 ? notRun.retryAfterMillis() : defaultRetryAfterMillis();
      long seconds = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      response.setHeader(CallHeaders.RETRY_AFTER, Long.toString(seconds));
      response.setHeader(CallHeaders.RETRY_AFTER_MILLIS, Long.toString(millis));
    }
    return response;
  }

  private static long defaultRetryAfterMillis() {
    return MIN_RETRY_AFTER_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_AFTER_SPREAD_MILLIS);
  }

  @Override
  public ClassicHttpResponse unknown(Outcome.Unknown<CallResponse> unknown) {
    return failure(unknown.code(), "unknown", unknown.detail());
  }

  private static ClassicHttpResponse failure(ResultCode code, String outcome, String detail) {
    ClassicHttpResponse response = new BasicClassicHttpResponse(code.httpStatus());
    response.setHeader(CallHeaders.OUTCOME, outcome);
    response.setHeader(CallHeaders.CODE, Integer.toString(code.number()));
    String text = outcome + " " + code.number() + " " + code + ": " + detail + "\n";
    response.setEntity(new StringEntity(text, ContentType.TEXT_PLAIN));
    return response;
  }
}
