package org.amaranthmoor.daemon.caller;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.amaranthmoor.caller.FirstAttemptEstimator;
import org.amaranthmoor.caller.Route;
import org.amaranthmoor.caller.TeamAuthentication;
import org.amaranthmoor.config.TeamSpec;
import org.amaranthmoor.config.Teams;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.HeaderField;
import org.amaranthmoor.model.KeyDigest;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TimeSource;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;

/**
 * Authenticates a caller's HTTP request, and builds a {@link CallRequest} from it and its route.
 *
 * <p>Invariant: no byte of the body of a refused request is read here. Keeps no state of its own
 * except in {@link FirstAttemptEstimator}; safe for use by several threads.
 */
final class CallRequestParser {

  private static final String EXPECT = "expect";

  private final CallerDialect dialect;
  private final RunningRequests runningRequests;
  private final FirstAttemptEstimator firstAttemptEstimator;
  private final TimeSource time;

  CallRequestParser(
      CallerDialect dialect,
      RunningRequests runningRequests,
      FirstAttemptEstimator firstAttemptEstimator,
      TimeSource time) {
    this.dialect = dialect;
    this.runningRequests = runningRequests;
    this.firstAttemptEstimator = firstAttemptEstimator;
    this.time = time;
  }

  /** The call, or the refusal of a request that is invalid or needs another key. */
  sealed interface ParseResult {
    /** The request is valid. */
    record Valid(CallRequest request) implements ParseResult {}

    /** The request is invalid, or needs another key. */
    record Invalid(Outcome.NotRun<?> refusal) implements ParseResult {}
  }

  /**
   * Authenticates and parses a request.
   *
   * @param http the request
   * @param route its route
   * @param teams the teams of the current configuration
   * @param remote the address from which the request arrived, if known
   */
  ParseResult parse(ClassicHttpRequest http, Route route, Teams teams, Optional<InetAddress> remote)
      throws IOException {
    return switch (dialect.parse(http, route)) {
      case CallerDialect.ParseResult.Invalid invalid -> new ParseResult.Invalid(invalid.refusal());
      case CallerDialect.ParseResult.Valid valid ->
          authenticateAndParse(http, route, teams, remote, valid.metadata());
    };
  }

  private ParseResult authenticateAndParse(
      ClassicHttpRequest http,
      Route route,
      Teams teams,
      Optional<InetAddress> remote,
      CallerDialect.CallMetadata metadata)
      throws IOException {
    CallRequest.ParentAttempt parentAttempt = parentAttempt(metadata);
    Optional<KeyDigest> key = teams.areConfigured() ? dialect.teamKey(http) : Optional.empty();
    return switch (TeamAuthentication.decide(
        teams, route.open(), key, origin(metadata, parentAttempt, remote))) {
      case TeamAuthentication.Decision.Rejected rejected ->
          new ParseResult.Invalid(
              new Outcome.NotRun<>(ResultCode.KEY_REJECTED, 0, rejected.reason()));
      case TeamAuthentication.Decision.Accepted accepted ->
          new ParseResult.Valid(
              toCallRequest(
                  http,
                  route,
                  metadata,
                  // Targets state no key: a call with a team is one of a caller, whatever its id.
                  accepted.team().isPresent() ? CallRequest.ParentAttempt.NONE : parentAttempt,
                  accepted.team(),
                  forwardedHeaders(http, teams, accepted.team())));
    };
  }

  // A caller elsewhere knows the ids of its own requests, so that a running parent alone proves
  // nothing. After a restart, this node does not know which requests run at the target beside it.
  private TeamAuthentication.Origin origin(
      CallerDialect.CallMetadata metadata,
      CallRequest.ParentAttempt parentAttempt,
      Optional<InetAddress> remote) {
    boolean parentRuns = parentAttempt != CallRequest.ParentAttempt.NONE;
    boolean fromTarget =
        metadata.parent().isPresent()
            && remote
                .filter(
                    address ->
                        dialect.isOwnInstance(address)
                            || (parentRuns && dialect.mayBeOwnTarget(address)))
                .isPresent();
    return fromTarget ? TeamAuthentication.Origin.TARGET : TeamAuthentication.Origin.CALLER;
  }

  private CallRequest toCallRequest(
      ClassicHttpRequest http,
      Route route,
      CallerDialect.CallMetadata metadata,
      CallRequest.ParentAttempt parentAttempt,
      Optional<TeamSpec> team,
      List<HeaderField> headers)
      throws IOException {
    boolean nested = parentAttempt != CallRequest.ParentAttempt.NONE;
    long nowNanos = time.nanos();
    Duration maxTimeout = Duration.ofMillis(route.maxTimeoutMillis());
    Duration timeout = metadata.timeout().orElse(Duration.ofMillis(route.defaultDeadlineMillis()));
    long timeoutNanos = Math.min(timeout.toNanos(), maxTimeout.toNanos());
    HttpEntity entity = http.getEntity();
    long bodyLength = entity == null ? 0 : entity.getContentLength();
    byte[] bodyPrefix = entity == null ? new byte[0] : readPrefix(entity.getContent());
    boolean bodyComplete =
        entity == null
            || bodyPrefix.length == bodyLength
            || (bodyLength < 0 && bodyPrefix.length < CallRequest.MAX_PREFIX_BYTES);
    return new CallRequest(
        route.service().name(),
        http.getMethod(),
        http.getRequestUri(),
        headers,
        nowNanos + timeoutNanos,
        metadata.attempt(),
        route.idempotent(),
        nested ? Priority.CRITICAL : team.flatMap(TeamSpec::priority).orElse(route.priority()),
        metadata.key(),
        bodyPrefix,
        bodyComplete,
        bodyComplete ? bodyPrefix.length : bodyLength,
        metadata.id(),
        route.rule(),
        nowNanos
            + Duration.ofMillis(remainingObjectiveMillis(route, metadata, nested, nowNanos))
                .toNanos(),
        parentAttempt,
        route.maxAttempts(),
        0,
        team.map(TeamSpec::name));
  }

  private CallRequest.ParentAttempt parentAttempt(CallerDialect.CallMetadata metadata) {
    OptionalInt attempt =
        metadata.parent().map(runningRequests::attempt).orElseGet(OptionalInt::empty);
    if (attempt.isEmpty()) {
      return CallRequest.ParentAttempt.NONE;
    }
    return attempt.getAsInt() > 1
        ? CallRequest.ParentAttempt.RETRY
        : CallRequest.ParentAttempt.FIRST;
  }

  // Time left until the latency objective, which counts from the caller's first attempt; negative
  // once it has passed. The timeout of a nested call is the time left to the running request
  // that waits for it, so earlier attempts cannot be estimated from it.
  private long remainingObjectiveMillis(
      Route route, CallerDialect.CallMetadata metadata, boolean nested, long nowNanos) {
    if (nested || metadata.timeout().isEmpty()) {
      return route.objectiveMillis();
    }
    long timeoutMillis = metadata.timeout().get().toMillis();
    return route.objectiveMillis()
        - firstAttemptEstimator.millisSinceFirstAttempt(route.rule(), timeoutMillis, nowNanos);
  }

  private static byte[] readPrefix(InputStream body) throws IOException {
    return body.readNBytes(CallRequest.MAX_PREFIX_BYTES);
  }

  private List<HeaderField> forwardedHeaders(
      ClassicHttpRequest http, Teams teams, Optional<TeamSpec> team) {
    Set<String> connectionHeaders = namesInConnectionHeader(http);
    List<HeaderField> fields = new ArrayList<>();
    for (Header header : http.getHeaders()) {
      String name = header.getName().toLowerCase(Locale.ROOT);
      boolean forwardable =
          !HeaderField.isHopByHop(name)
              && !name.equals(EXPECT)
              && !connectionHeaders.contains(name)
              && !(teams.areConfigured() && dialect.isTeamHeader(name));
      if (forwardable && dialect.forwardsRequestHeader(name)) {
        fields.add(new HeaderField(header.getName(), header.getValue()));
      }
    }
    fields.addAll(dialect.addedRequestHeaders());
    team.ifPresent(holder -> fields.add(dialect.teamHeader(holder.name())));
    return List.copyOf(fields);
  }

  private static Set<String> namesInConnectionHeader(ClassicHttpRequest http) {
    Set<String> names = new HashSet<>();
    for (Header header : http.getHeaders("Connection")) {
      for (String name : header.getValue().split(",", -1)) {
        names.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    return names;
  }
}
