package org.amaranthmoor.daemon.caller;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.caller.FirstAttemptEstimator;
import org.amaranthmoor.caller.RetryAfter;
import org.amaranthmoor.caller.Route;
import org.amaranthmoor.config.Teams;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.DeadlineWatch;
import org.amaranthmoor.daemon.http.DrainedEntity;
import org.amaranthmoor.daemon.http.HttpListener;
import org.amaranthmoor.daemon.http.StreamedEntity;
import org.amaranthmoor.daemon.log.ErrorListener;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.target.HandOver;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * Handles callers' HTTP requests: routes and authenticates them, serves them by the entry side, and
 * responds.
 *
 * <p>Safe for use by several threads; each request runs on its connection's thread.
 */
public final class CallerHandler implements HttpServerRequestHandler {

  /**
   * Time after the deadline at which the connection of a caller is reset that has not received the
   * whole response, in nanoseconds. The response usually fails at the deadline by itself.
   */
  private static final long RESET_DELAY_NANOS = 100_000_000L;

  /** Stated length of a body up to which the connection of a refused request is kept, in bytes. */
  private static final long MAX_KEPT_BODY_BYTES = 64 * 1024;

  private final RoutingSnapshots snapshots;
  private final EntrySide entrySide;
  private final CallRequestParser parser;
  private final CallerDialect dialect;
  private final FirstAttemptEstimator firstAttemptEstimator = new FirstAttemptEstimator();
  private final DeadlineWatch deadlineWatch;
  private final ErrorListener errors;
  private final TimeSource time;
  private final EventLog log;
  private final AtomicInteger callsInProgress = new AtomicInteger();
  private volatile boolean closingConnections;
  private volatile boolean refusingNewCalls;

  /**
   * Creates a handler.
   *
   * @param snapshots provides the current routing snapshot
   * @param entrySide serves calls
   * @param dialect parses requests and creates responses
   * @param runningRequests looks up the requests that run at the target beside this node
   * @param deadlineWatch resets connections to callers that do not receive a response in time
   * @param errors receives the failures that end a call
   * @param time the time source
   * @param log receives responses that were cut off
   */
  public CallerHandler(
      RoutingSnapshots snapshots,
      EntrySide entrySide,
      CallerDialect dialect,
      RunningRequests runningRequests,
      DeadlineWatch deadlineWatch,
      ErrorListener errors,
      TimeSource time,
      EventLog log) {
    this.snapshots = snapshots;
    this.entrySide = entrySide;
    this.dialect = dialect;
    this.deadlineWatch = deadlineWatch;
    this.errors = errors;
    this.time = time;
    this.log = log;
    this.parser = new CallRequestParser(dialect, runningRequests, firstAttemptEstimator, time);
  }

  /** Sends {@code Connection: close} with the responses of served calls from now on. */
  public void closeConnectionsAfterResponse() {
    closingConnections = true;
  }

  /** Refuses calls that arrive from now on; calls in progress continue. */
  public void refuseNewCalls() {
    refusingNewCalls = true;
  }

  /** {@return the number of calls in progress, without those that are refused during a stop} */
  public int callsInProgress() {
    return callsInProgress.get();
  }

  @Override
  public void handle(ClassicHttpRequest http, ResponseTrigger trigger, HttpContext context)
      throws HttpException, IOException {
    Optional<RoutingSnapshot> snapshot = snapshots.current();
    if (snapshot.isEmpty() || refusingNewCalls) {
      String detail = refusingNewCalls ? "the node is stopping" : "no configuration yet";
      submitAndClose(
          trigger, dialect.notRunResponse(new Outcome.NotRun<>(ResultCode.NOT_READY, 0, detail)));
      return;
    }
    callsInProgress.incrementAndGet();
    try {
      routeAndServe(http, trigger, context, snapshot.get());
    } finally {
      callsInProgress.decrementAndGet();
    }
  }

  private static void submitAndClose(ResponseTrigger trigger, ClassicHttpResponse response)
      throws HttpException, IOException {
    response.setHeader("Connection", "close");
    trigger.submitResponse(response);
  }

  private void routeAndServe(
      ClassicHttpRequest http,
      ResponseTrigger trigger,
      HttpContext context,
      RoutingSnapshot snapshot)
      throws HttpException, IOException {
    Optional<Route> route =
        snapshot.router().find(http.getMethod(), hostOf(http), http.getRequestUri());
    HttpCallerConnection caller = new HttpCallerConnection(http, context);
    if (route.isEmpty()) {
      Outcome.NotRun<?> noRule =
          new Outcome.NotRun<>(
              ResultCode.NO_RULE, 0, "no rule matches the method, host and path of the request");
      refuseUnread(noRule, http, trigger, caller);
      return;
    }
    Optional<CallRequestParser.ParseResult> parsed =
        parse(http, route.get(), snapshot.teams(), caller.remoteAddress());
    if (parsed.isEmpty()) {
      refuseForWantOfRoom(trigger, caller);
      return;
    }
    switch (parsed.get()) {
      case CallRequestParser.ParseResult.Invalid invalid -> {
        logIfKeyRejected(invalid.refusal(), route.get(), caller);
        refuseUnread(invalid.refusal(), http, trigger, caller);
      }
      case CallRequestParser.ParseResult.Valid valid -> {
        if (HttpListener.tryServe(context, valid.request().bodyComplete())) {
          serve(valid.request(), http, trigger, context);
        } else {
          refuseForWantOfRoom(trigger, caller);
        }
      }
    }
  }

  private void logIfKeyRejected(
      Outcome.NotRun<?> refusal, Route route, HttpCallerConnection caller) {
    if (refusal.code() == ResultCode.KEY_REJECTED) {
      log.requestFailed(
          "key-rejected",
          () ->
              "rule="
                  + route.rule()
                  + " peer="
                  + caller.remoteAddress().map(InetAddress::getHostAddress).orElse("unknown")
                  + " reason="
                  + EventLog.quote(refusal.detail()));
    }
  }

  // The body of a refused request has not been read. The connection is kept if little is left of
  // it, which the listener reads within its limits.
  private void refuseUnread(
      Outcome.NotRun<?> refusal,
      ClassicHttpRequest http,
      ResponseTrigger trigger,
      HttpCallerConnection caller)
      throws HttpException, IOException {
    ClassicHttpResponse response = dialect.notRunResponse(refusal);
    // A caller without a valid key gets no further work out of the node for a body.
    long maxBytes = refusal.code() == ResultCode.KEY_REJECTED ? 0 : MAX_KEPT_BODY_BYTES;
    if (hasBodyWithin(maxBytes, http)) {
      trigger.submitResponse(response);
    } else {
      caller.limitDrain();
      submitAndClose(trigger, response);
    }
  }

  private static boolean hasBodyWithin(long maxBytes, ClassicHttpRequest http) {
    if (http.getEntity() == null) {
      return true;
    }
    long length = http.getEntity().getContentLength();
    return length >= 0 && length <= maxBytes;
  }

  private void refuseForWantOfRoom(ResponseTrigger trigger, HttpCallerConnection caller)
      throws HttpException, IOException {
    caller.limitDrain();
    submitAndClose(
        trigger,
        dialect.notRunResponse(
            new Outcome.NotRun<>(
                ResultCode.NODE_BUSY, 0, "the node has no memory for the request")));
  }

  // Empty if the heap is full; the request has reached no target.
  private Optional<CallRequestParser.ParseResult> parse(
      ClassicHttpRequest http, Route route, Teams teams, Optional<InetAddress> remote)
      throws IOException {
    try {
      return Optional.of(parser.parse(http, route, teams, remote));
    } catch (OutOfMemoryError e) {
      errors.onError(e);
      log.warn("request-not-read", () -> "error=" + EventLog.quote(e.toString()));
      return Optional.empty();
    }
  }

  private void serve(
      CallRequest request, ClassicHttpRequest http, ResponseTrigger trigger, HttpContext context)
      throws HttpException, IOException {
    HttpCallerConnection caller = new HttpCallerConnection(http, context);
    EntrySide.CallResult result = serveOrFail(request, caller);
    try {
      if (!result.isSuccess()) {
        firstAttemptEstimator.onNotServed(request.rule(), time.nanos());
      }
      respond(request, result, http, trigger, caller);
    } finally {
      closeBody(result.outcome());
    }
  }

  private void respond(
      CallRequest request,
      EntrySide.CallResult result,
      ClassicHttpRequest http,
      ResponseTrigger trigger,
      HttpCallerConnection caller)
      throws HttpException, IOException {
    ClassicHttpResponse response =
        switch (result.outcome()) {
          case Outcome.Answered<CallResponse> answered ->
              answeredResponse(answered.response(), result.server(), http);
          case Outcome.NotRun<CallResponse> notRun ->
              dialect.notRunResponse(withRetryDelay(notRun, request));
          case Outcome.Unknown<CallResponse> unknown -> dialect.unknownResponse(unknown);
        };
    if (closingConnections || !caller.bodyEnded(request)) {
      // The unread rest of the body would be parsed as the next request on this connection.
      response.setHeader("Connection", "close");
    }
    if (!caller.bodyEnded(request)) {
      caller.limitDrain();
    }
    submit(trigger, response, result.outcome(), request, caller);
  }

  // A caller whose connection was closed instead could not tell whether its request was read.
  private EntrySide.CallResult serveOrFail(CallRequest request, HttpCallerConnection caller) {
    HandOver sent = new HandOver();
    try {
      return entrySide.serve(request, caller, sent);
    } catch (RuntimeException | Error e) {
      errors.onError(e);
      log.warn(
          "call-failed", () -> "id=" + request.id() + " error=" + EventLog.quote(e.toString()));
      Outcome<CallResponse> outcome =
          sent.fence()
              ? new Outcome.NotRun<>(
                  ResultCode.NODE_BUSY, 0, "the node failed before it sent the request to a target")
              : new Outcome.Unknown<>(
                  ResultCode.NODE_FAILED, "the node failed to serve the request");
      return new EntrySide.CallResult(outcome, Optional.empty(), "");
    }
  }

  private Outcome.NotRun<CallResponse> withRetryDelay(
      Outcome.NotRun<CallResponse> notRun, CallRequest request) {
    OptionalDouble maxDelayShare = dialect.maxRetryDelayShare();
    // An earlier retry is refused too.
    boolean quarantined = notRun.code() == ResultCode.REQUEST_QUARANTINED;
    if (maxDelayShare.isEmpty() || quarantined) {
      return notRun;
    }
    long nowNanos = time.nanos();
    long retryDelayMillis =
        RetryAfter.delayMillis(
            notRun.code(),
            request.objectiveNanos() - nowNanos,
            request.deadlineNanos() - nowNanos,
            maxDelayShare.getAsDouble(),
            targetStartDelayNanos(notRun),
            ThreadLocalRandom.current());
    return new Outcome.NotRun<>(notRun.code(), retryDelayMillis, notRun.detail());
  }

  private static long targetStartDelayNanos(Outcome.NotRun<CallResponse> notRun) {
    boolean statesTime =
        notRun.code() == ResultCode.TARGET_LIMITED || notRun.code() == ResultCode.QUOTA_EXCEEDED;
    return statesTime ? TimeUnit.MILLISECONDS.toNanos(notRun.retryAfterMillis()) : 0;
  }

  // A response that fails midway is cut off visibly, so that the caller does not take it for whole.
  private void submit(
      ResponseTrigger trigger,
      ClassicHttpResponse response,
      Outcome<CallResponse> outcome,
      CallRequest request,
      HttpCallerConnection caller)
      throws HttpException, IOException {
    boolean streamed =
        outcome instanceof Outcome.Answered<CallResponse> answered
            && answered.response().body() instanceof CallResponse.Body.Streamed;
    Optional<DeadlineWatch.Watched> watched =
        streamed
            ? Optional.of(
                deadlineWatch.watch(request.deadlineNanos() + RESET_DELAY_NANOS, caller::reset))
            : Optional.empty();
    try {
      trigger.submitResponse(response);
    } catch (IOException | HttpException | RuntimeException | Error e) {
      boolean reset = watched.isPresent() && !watched.get().close();
      logCutOff(request, response.getCode(), reset, e);
      throw e;
    } finally {
      watched.ifPresent(DeadlineWatch.Watched::close);
    }
  }

  private static void closeBody(Outcome<CallResponse> outcome) throws IOException {
    if (outcome instanceof Outcome.Answered<CallResponse> answered
        && answered.response().body() instanceof CallResponse.Body.Streamed streamed) {
      streamed.stream().close();
    }
  }

  private void logCutOff(CallRequest request, int status, boolean reset, Throwable cause) {
    long leftMillis = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - time.nanos());
    log.requestFailed(
        "response-cut-off",
        () ->
            "id="
                + request.id()
                + " rule="
                + request.rule()
                + " status="
                + status
                + " left-ms="
                + leftMillis
                + " reset-at-deadline="
                + reset
                + " error="
                + EventLog.quote(cause.toString()));
  }

  private ClassicHttpResponse answeredResponse(
      CallResponse answer, Optional<Server> server, ClassicHttpRequest http) {
    ClassicHttpResponse response = new BasicClassicHttpResponse(answer.status());
    answer.headers().forEach(header -> response.addHeader(header.name(), header.value()));
    dialect.addResponseHeaders(response, server);
    boolean hasNoBody =
        http.getMethod().equals("HEAD") || answer.status() == 304 || answer.status() == 204;
    if (!hasNoBody) {
      ContentType unspecified = null;
      switch (answer.body()) {
        case CallResponse.Body.Buffered buffered ->
            response.setEntity(new ByteArrayEntity(buffered.bytes(), unspecified));
        case CallResponse.Body.Streamed streamed ->
            response.setEntity(new StreamedEntity(streamed.stream(), streamed.length()));
      }
    }
    return response;
  }

  private static String hostOf(ClassicHttpRequest http) {
    if (http.getAuthority() != null) {
      return http.getAuthority().toString();
    }
    Header host = http.getFirstHeader("Host");
    return host == null ? "" : host.getValue();
  }

  // The connection to a caller, based on HttpCore.
  private static final class HttpCallerConnection implements CallerConnection {

    private final ClassicHttpRequest http;
    private final HttpContext context;
    private boolean bodyEnded;

    HttpCallerConnection(ClassicHttpRequest http, HttpContext context) {
      this.http = http;
      this.context = context;
    }

    @Override
    public int readBody(byte[] buffer, long maxNanos) throws IOException {
      if (connection().isEmpty()) {
        return readBody(buffer);
      }
      DefaultBHttpServerConnection open = connection().get();
      Timeout idleTimeout = open.getSocketTimeout();
      open.setSocketTimeout(
          Timeout.ofMilliseconds(Math.max(1, TimeUnit.NANOSECONDS.toMillis(maxNanos))));
      try {
        return readBody(buffer);
      } finally {
        open.setSocketTimeout(idleTimeout);
      }
    }

    private int readBody(byte[] buffer) throws IOException {
      int count = http.getEntity().getContent().read(buffer);
      bodyEnded = bodyEnded || count < 0;
      return count;
    }

    private Optional<DefaultBHttpServerConnection> connection() {
      return context.getAttribute(HttpListener.CONNECTION_ATTRIBUTE)
              instanceof DefaultBHttpServerConnection open
          ? Optional.of(open)
          : Optional.empty();
    }

    Optional<InetAddress> remoteAddress() {
      return connection()
          .map(DefaultBHttpServerConnection::getRemoteAddress)
          .filter(InetSocketAddress.class::isInstance)
          .map(address -> ((InetSocketAddress) address).getAddress());
    }

    @Override
    public boolean isClosed() {
      Optional<DefaultBHttpServerConnection> open = connection();
      try {
        return open.isPresent() && open.get().isStale();
      } catch (IOException e) {
        return true;
      }
    }

    // The response is not lost by a reset while the caller still sends, and a caller that never
    // stops does not keep the connection.
    void limitDrain() {
      connection().ifPresent(open -> http.setEntity(new DrainedEntity(http.getEntity(), open)));
    }

    void reset() {
      connection().ifPresent(open -> open.close(CloseMode.IMMEDIATE));
    }

    boolean bodyEnded(CallRequest request) {
      return request.bodyComplete() || bodyEnded;
    }
  }
}
