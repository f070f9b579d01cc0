package org.amaranthmoor.daemon.caller;

import java.io.IOException;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.caller.FirstAttemptEstimator;
import org.amaranthmoor.caller.RetryAfter;
import org.amaranthmoor.caller.Route;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.http.HttpListener;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TimeSource;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.InputStreamEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * Serves callers' HTTP requests.
 *
 * <p>Safe for use by several threads; each request runs on its connection's thread.
 */
public final class CallerHandler implements HttpServerRequestHandler {

  private final EntryViews views;
  private final EntrySide entrySide;
  private final CallReader reader;
  private final CallerDialect dialect;
  private final FirstAttemptEstimator firstAttempts = new FirstAttemptEstimator();
  private final TimeSource time;
  private final AtomicInteger inProgress = new AtomicInteger();
  private volatile boolean closing;
  private volatile boolean refusing;

  /**
   * Creates a handler.
   *
   * @param views what calls are routed by
   * @param entrySide serves calls
   * @param dialect how callers state calls and are told their ends
   * @param running the requests at the target beside this node
   * @param time the time
   */
  public CallerHandler(
      EntryViews views,
      EntrySide entrySide,
      CallerDialect dialect,
      RunningRequests running,
      TimeSource time) {
    this.views = views;
    this.entrySide = entrySide;
    this.dialect = dialect;
    this.time = time;
    this.reader = new CallReader(dialect, running, firstAttempts, time);
  }

  /** Asks callers from now on to close their connections after the answer. */
  public void closeConnections() {
    closing = true;
  }

  /** Refuses calls that arrive from now on; those in progress go on. */
  public void refuseNew() {
    refusing = true;
  }

  /** {@return how many calls are in progress} */
  public int inProgress() {
    return inProgress.get();
  }

  @Override
  public void handle(ClassicHttpRequest http, ResponseTrigger trigger, HttpContext context)
      throws HttpException, IOException {
    inProgress.incrementAndGet();
    try {
      Optional<EntryView> view = views.current();
      if (view.isEmpty() || refusing) {
        String detail = refusing ? "the node is stopping" : "no configuration yet";
        submitLast(trigger, dialect.refusal(new Outcome.NotRun<>(ResultCode.NOT_READY, 0, detail)));
        return;
      }
      handleRouted(http, trigger, context, view.get());
    } finally {
      inProgress.decrementAndGet();
    }
  }

  private static void submitLast(ResponseTrigger trigger, ClassicHttpResponse response)
      throws HttpException, IOException {
    response.setHeader("Connection", "close");
    trigger.submitResponse(response);
  }

  private void handleRouted(
      ClassicHttpRequest http, ResponseTrigger trigger, HttpContext context, EntryView view)
      throws HttpException, IOException {
    Optional<Route> route =
        view.routes().find(http.getMethod(), hostOf(http), http.getRequestUri());
    if (route.isEmpty()) {
      trigger.submitResponse(
          dialect.refusal(
              new Outcome.NotRun<>(ResultCode.NO_RULE, 0, "no rule matches this path")));
      return;
    }
    switch (reader.read(http, route.get())) {
      case CallReader.Reading.Wrong wrong ->
          trigger.submitResponse(dialect.refusal(wrong.refusal()));
      case CallReader.Reading.Call call -> serve(call.request(), http, trigger, context);
    }
  }

  private void serve(
      CallRequest request, ClassicHttpRequest http, ResponseTrigger trigger, HttpContext context)
      throws HttpException, IOException {
    HttpCallerConnection caller = new HttpCallerConnection(http, context);
    EntrySide.Served served = entrySide.serve(request, caller);
    if (!served.endedWell()) {
      firstAttempts.onNotServed(request.rule(), time.nanos());
    }
    ClassicHttpResponse response =
        switch (served.outcome()) {
          case Outcome.Answered<CallResponse> answered ->
              answer(answered.response(), served.server(), http);
          case Outcome.NotRun<CallResponse> notRun ->
              dialect.refusal(withReturnTime(notRun, request));
          case Outcome.Unknown<CallResponse> unknown -> dialect.unknown(unknown);
        };
    if (closing || !caller.bodyEnded(request)) {
      // The rest of an upload that is not read would stand before the next request.
      response.setHeader("Connection", "close");
    }
    submit(trigger, response, served.outcome());
  }

  private Outcome.NotRun<CallResponse> withReturnTime(
      Outcome.NotRun<CallResponse> notRun, CallRequest request) {
    OptionalDouble accepted = dialect.acceptedWaitShare();
    if (accepted.isEmpty()) {
      return notRun;
    }
    long now = time.nanos();
    long millis =
        RetryAfter.delayMillis(
            notRun.code(),
            request.objectiveNanos() - now,
            request.deadlineNanos() - now,
            accepted.getAsDouble(),
            startWaitNanos(notRun),
            ThreadLocalRandom.current());
    return new Outcome.NotRun<>(notRun.code(), millis, notRun.detail());
  }

  private static long startWaitNanos(Outcome.NotRun<CallResponse> notRun) {
    return notRun.code() == ResultCode.TARGET_LIMITED
        ? TimeUnit.MILLISECONDS.toNanos(notRun.retryAfterMillis())
        : 0;
  }

  private static void submit(
      ResponseTrigger trigger, ClassicHttpResponse response, Outcome<CallResponse> outcome)
      throws HttpException, IOException {
    if (outcome instanceof Outcome.Answered<CallResponse> answered
        && answered.response().body() instanceof CallResponse.Body.Streamed streamed) {
      try {
        trigger.submitResponse(response);
      } finally {
        streamed.stream().close();
      }
      return;
    }
    trigger.submitResponse(response);
  }

  private ClassicHttpResponse answer(
      CallResponse answer, Optional<Server> server, ClassicHttpRequest http) {
    ClassicHttpResponse response = new BasicClassicHttpResponse(answer.status());
    answer.headers().forEach(header -> response.addHeader(header.name(), header.value()));
    dialect.complete(response, server);
    boolean bodiless =
        http.getMethod().equals("HEAD") || answer.status() == 304 || answer.status() == 204;
    if (!bodiless) {
      ContentType none = null;
      switch (answer.body()) {
        case CallResponse.Body.Buffered buffered ->
            response.setEntity(new ByteArrayEntity(buffered.bytes(), none));
        case CallResponse.Body.Streamed streamed ->
            response.setEntity(new InputStreamEntity(streamed.stream(), streamed.length(), none));
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

  // The caller's connection as HttpCore shows it.
  private static final class HttpCallerConnection implements CallerConnection {

    private final ClassicHttpRequest http;
    private final HttpContext context;
    private boolean ended;

    HttpCallerConnection(ClassicHttpRequest http, HttpContext context) {
      this.http = http;
      this.context = context;
    }

    @Override
    public int readBody(byte[] buffer) throws IOException {
      int count = http.getEntity().getContent().read(buffer);
      ended = ended || count < 0;
      return count;
    }

    @Override
    public boolean gone() {
      Object connection = context.getAttribute(HttpListener.CONNECTION);
      try {
        return connection instanceof DefaultBHttpServerConnection open && open.isStale();
      } catch (IOException e) {
        return true;
      }
    }

    boolean bodyEnded(CallRequest request) {
      return request.bodyComplete() || ended;
    }
  }
}
