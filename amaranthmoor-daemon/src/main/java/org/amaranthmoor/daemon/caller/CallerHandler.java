package org.amaranthmoor.daemon.caller;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.caller.CallHeaders;
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
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * Serves callers' HTTP requests.
 *
 * <p>Safe for use by several threads; each request runs on its connection's thread.
 */
public final class CallerHandler implements HttpServerRequestHandler {

  private static final long MIN_RETRY_AFTER_MILLIS = 100;
  private static final long RETRY_AFTER_SPREAD_MILLIS = 900;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final EntryViews views;
  private final EntrySide entrySide;
  private final CallReader reader;
  private final AtomicInteger inProgress = new AtomicInteger();

  /**
   * Creates a handler.
   *
   * @param views what calls are routed by
   * @param entrySide serves calls
   * @param time the time
   */
  public CallerHandler(EntryViews views, EntrySide entrySide, TimeSource time) {
    this.views = views;
    this.entrySide = entrySide;
    this.reader = new CallReader(time);
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
      if (view.isEmpty()) {
        trigger.submitResponse(
            refusal(new Outcome.NotRun<>(ResultCode.NOT_READY, 0, "no configuration yet")));
        return;
      }
      handleRouted(http, trigger, context, view.get());
    } finally {
      inProgress.decrementAndGet();
    }
  }

  private void handleRouted(
      ClassicHttpRequest http, ResponseTrigger trigger, HttpContext context, EntryView view)
      throws HttpException, IOException {
    Optional<Route> route =
        view.routes().find(http.getMethod(), hostOf(http), http.getRequestUri());
    if (route.isEmpty()) {
      trigger.submitResponse(
          refusal(new Outcome.NotRun<>(ResultCode.NO_RULE, 0, "no rule matches this path")));
      return;
    }
    switch (reader.read(http, route.get())) {
      case CallReader.Reading.Wrong wrong -> trigger.submitResponse(refusal(wrong.refusal()));
      case CallReader.Reading.Call call -> serve(call.request(), http, trigger, context);
    }
  }

  private void serve(
      CallRequest request, ClassicHttpRequest http, ResponseTrigger trigger, HttpContext context)
      throws HttpException, IOException {
    HttpCallerConnection caller = new HttpCallerConnection(http, context);
    EntrySide.Served served = entrySide.serve(request, caller);
    ClassicHttpResponse response =
        switch (served.outcome()) {
          case Outcome.Answered<CallResponse> answered ->
              answer(answered.response(), served.server(), http);
          case Outcome.NotRun<CallResponse> notRun -> refusal(notRun);
          case Outcome.Unknown<CallResponse> unknown -> unknown(unknown);
        };
    if (!caller.bodyEnded(request)) {
      // The rest of the upload is not read, so the connection cannot carry another request.
      response.setHeader("Connection", "close");
    }
    submit(trigger, response, served.outcome());
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

  private static ClassicHttpResponse answer(
      CallResponse answer, Optional<Server> server, ClassicHttpRequest http) {
    ClassicHttpResponse response = new BasicClassicHttpResponse(answer.status());
    answer.headers().forEach(header -> response.addHeader(header.name(), header.value()));
    response.setHeader(CallHeaders.OUTCOME, "answered");
    server.ifPresent(found -> response.setHeader(CallHeaders.TARGET, found.target().value()));
    boolean bodiless =
        http.getMethod().equals("HEAD") || answer.status() == 304 || answer.status() == 204;
    if (!bodiless) {
      ContentType none = null;
      switch (answer.body()) {
        case CallResponse.Body.Whole whole ->
            response.setEntity(new ByteArrayEntity(whole.bytes(), none));
        case CallResponse.Body.Streamed streamed ->
            response.setEntity(new InputStreamEntity(streamed.stream(), streamed.length(), none));
      }
    }
    return response;
  }

  private static ClassicHttpResponse refusal(Outcome.NotRun<?> notRun) {
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

  private static ClassicHttpResponse unknown(Outcome.Unknown<?> unknown) {
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
      return request.complete() || ended;
    }
  }
}
