package org.amaranthmoor.daemon.caller;

import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.caller.CallHeaders;
import org.amaranthmoor.caller.Route;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.HeaderField;
import org.amaranthmoor.model.CallId;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.model.KeyDigest;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TeamName;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.target.KeyLedger;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;

/**
 * The project's own HTTP interface for callers, which the user guide describes.
 *
 * <p>Stateless except for the time source; safe for use by several threads.
 */
public final class NativeCallerDialect implements CallerDialect {

  private static final long MILLIS_PER_SECOND = 1_000;

  /** Shortest retry delay where the refusal names none, in milliseconds. */
  private static final long MIN_RETRY_AFTER_MILLIS = 100;

  /**
   * Width of the random range that is added to the shortest retry delay, so that refused callers do
   * not retry all at once, in milliseconds.
   */
  private static final long RETRY_AFTER_SPREAD_MILLIS = 900;

  private static final Set<String> NOT_FORWARDED_HEADERS =
      Set.of("grpc-timeout", "amaranthmoor-attempt");

  private static final Set<String> TEAM_HEADERS =
      Set.of(
          CallHeaders.TEAM_KEY.toLowerCase(Locale.ROOT), CallHeaders.TEAM.toLowerCase(Locale.ROOT));

  private final TimeSource time;

  /**
   * Creates the dialect.
   *
   * @param time the time source
   */
  public NativeCallerDialect(TimeSource time) {
    this.time = time;
  }

  @Override
  public ParseResult parse(ClassicHttpRequest http, Route route) {
    Optional<Duration> timeout = timeout(http);
    if (http.containsHeader(CallHeaders.TIMEOUT) && timeout.isEmpty()) {
      return invalid(
          CallHeaders.TIMEOUT + " must be digits followed by one of the units H, M, S, m, u, n");
    }
    Optional<IdempotencyKey> key =
        header(http, CallHeaders.IDEMPOTENCY_KEY).flatMap(IdempotencyKey::parse);
    if (!route.idempotent() && http.containsHeader(CallHeaders.IDEMPOTENCY_KEY)) {
      if (key.isEmpty()) {
        return invalid(CallHeaders.IDEMPOTENCY_KEY + " must be a UUID of version 7");
      }
      if (key.get().createdAtMillis() > time.wallMillis() + KeyLedger.MAX_CLOCK_SKEW_MILLIS) {
        return invalid(CallHeaders.IDEMPOTENCY_KEY + " has a timestamp in the future");
      }
    }
    Optional<IdempotencyKey> usedKey = route.idempotent() ? Optional.empty() : key;
    return new ParseResult.Valid(
        new CallMetadata(CallId.NONE, Optional.empty(), timeout, usedKey, attempt(http)));
  }

  private static ParseResult invalid(String detail) {
    return new ParseResult.Invalid(new Outcome.NotRun<>(ResultCode.BAD_HEADER, 0, detail));
  }

  private static Optional<Duration> timeout(ClassicHttpRequest http) {
    Optional<String> value = header(http, CallHeaders.TIMEOUT);
    if (value.isPresent()) {
      return CallHeaders.parseTimeout(value.get());
    }
    return header(http, CallHeaders.PREFER).flatMap(CallHeaders::parsePreferWait);
  }

  private static int attempt(ClassicHttpRequest http) {
    String text = header(http, CallHeaders.ATTEMPT).orElse("1");
    boolean digitsOnly = text.length() <= 4 && text.chars().allMatch(c -> c >= '0' && c <= '9');
    return digitsOnly && !text.isEmpty() ? Math.max(1, Integer.parseInt(text)) : 1;
  }

  private static Optional<String> header(ClassicHttpRequest http, String name) {
    return Optional.ofNullable(http.getFirstHeader(name)).map(Header::getValue);
  }

  // Several headers are combined as the HTTP standard defines it, so that none of them is passed
  // over; no team holds the combination.
  @Override
  public Optional<KeyDigest> teamKey(ClassicHttpRequest http) {
    String key =
        Stream.of(http.getHeaders(CallHeaders.TEAM_KEY))
            .map(Header::getValue)
            .collect(Collectors.joining(", "))
            .trim();
    // Header values have one character for each byte.
    return key.isEmpty()
        ? Optional.empty()
        : Optional.of(
            KeyDigest.of(
                new String(key.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8)));
  }

  @Override
  public boolean isTeamHeader(String lowerCaseName) {
    return TEAM_HEADERS.contains(lowerCaseName);
  }

  @Override
  public HeaderField teamHeader(TeamName team) {
    return new HeaderField(CallHeaders.TEAM, team.value());
  }

  // Calls name no parent in this interface, so none is accepted for its address.
  @Override
  public boolean isOwnInstance(InetAddress remote) {
    return false;
  }

  @Override
  public boolean mayBeOwnTarget(InetAddress remote) {
    return false;
  }

  @Override
  public boolean forwardsRequestHeader(String lowerCaseName) {
    return !NOT_FORWARDED_HEADERS.contains(lowerCaseName);
  }

  @Override
  public List<HeaderField> addedRequestHeaders() {
    return List.of();
  }

  @Override
  public void addResponseHeaders(ClassicHttpResponse response, Optional<Server> server) {
    response.setHeader(CallHeaders.OUTCOME, "answered");
    server.ifPresent(
        answeringServer ->
            response.setHeader(CallHeaders.TARGET, answeringServer.target().value()));
  }

  @Override
  public OptionalDouble maxRetryDelayShare() {
    return OptionalDouble.empty();
  }

  @Override
  public ClassicHttpResponse notRunResponse(Outcome.NotRun<?> notRun) {
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
  public ClassicHttpResponse unknownResponse(Outcome.Unknown<CallResponse> unknown) {
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
