package org.amaranthmoor.daemon.target;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.EndNotifyingBody;
import org.amaranthmoor.daemon.exchange.HeaderField;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.target.TargetNotice;
import org.amaranthmoor.target.TargetRun;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.io.entity.InputStreamEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpCoreContext;

/**
 * Sends one committed request over one connection and reads the answer.
 *
 * <p>Confined to one thread, but for aborting the connection. The connection goes back to the pool
 * only after a whole answer; {@code onNotice} is called with the head of an answer of the target's
 * own, before the answer is passed on; {@code whenDone} is called exactly once, after the answer
 * was read or given up.
 */
final class TargetExchange {

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final long BODY_IDLE_NANOS = 30_000_000_000L;

  /** Interim answers, with a status below 200, that are passed over at most. */
  private static final int MAX_INTERIM = 16;

  /** Most answers to other requests that are passed over on one connection. */
  private static final int MAX_FOREIGN = 3;

  /** How an exchange ended. */
  enum Kind {
    /** By a whole answer. */
    ANSWERED,
    /** By a refusal of the target. */
    REFUSED,
    /** By an answer of another target. */
    REPLACED,
    /** Without a whole answer. */
    BROKEN,
    /** Without any answer before the deadline. */
    SILENT,
    /** By the entry side or its deadline. */
    CANCELLED
  }

  /**
   * The end of an exchange.
   *
   * @param kind how it ended
   * @param slowdown how much longer work takes at the target, if it said so
   */
  record End(Kind kind, OptionalDouble slowdown) {
    /** {@return whether the time of the exchange tells how long the target works} */
    boolean tellsSpeed() {
      return kind == Kind.ANSWERED;
    }
  }

  private final InboundCall call;
  private final Optional<TargetRun> run;
  private final TargetDialect dialect;
  private final TargetConnection connection;
  private final TargetConnectionPool pool;
  private final TimeSource time;
  private final Consumer<TargetNotice> onNotice;
  private final Consumer<End> whenDone;
  private OptionalDouble slowdown = OptionalDouble.empty();
  private boolean passedOver;
  private boolean done;

  TargetExchange(
      InboundCall call,
      Optional<TargetRun> run,
      TargetDialect dialect,
      TargetConnection connection,
      TargetConnectionPool pool,
      TimeSource time,
      Consumer<TargetNotice> onNotice,
      Consumer<End> whenDone) {
    this.call = call;
    this.run = run;
    this.dialect = dialect;
    this.connection = connection;
    this.pool = pool;
    this.time = time;
    this.onNotice = onNotice;
    this.whenDone = whenDone;
  }

  /** Runs the exchange up to the answer's head, and to its end if the answer is small. */
  Outcome<CallResponse> run() {
    try {
      ClassicHttpRequest request = toHttp(call.request());
      send(request);
      ClassicHttpResponse response = receiveHead(request);
      return toOutcome(request, response);
    } catch (SocketTimeoutException e) {
      return broken(
          Kind.SILENT, ResultCode.DEADLINE_AFTER_START, "the target did not answer in time");
    } catch (IOException | HttpException | RuntimeException e) {
      // The request was committed, so whatever went wrong, it may have run, and its slot is given
      // back.
      return broken(Kind.BROKEN, ResultCode.TARGET_BROKE_OFF, String.valueOf(e.getMessage()));
    }
  }

  private Outcome<CallResponse> broken(Kind kind, ResultCode code, String detail) {
    boolean cancelled = call.cancelled();
    finish(false, cancelled ? Kind.CANCELLED : kind);
    return new Outcome.Unknown<>(cancelled ? ResultCode.DEADLINE_AFTER_START : code, detail);
  }

  private void finish(boolean reusable, Kind kind) {
    if (done) {
      return;
    }
    done = true;
    call.clearOnCancel();
    if (reusable && !passedOver && !call.cancelled()) {
      pool.release(connection);
    } else {
      connection.abort();
    }
    whenDone.accept(new End(kind, slowdown));
  }

  private void send(ClassicHttpRequest request) throws IOException, HttpException {
    connection.setTimeoutNanos(call.request().deadlineNanos() - time.nanos());
    connection.sendRequestHeader(request);
    if (request.getEntity() != null) {
      connection.sendRequestEntity(request);
    }
    connection.flush();
  }

  private ClassicHttpRequest toHttp(CallRequest request) {
    BasicClassicHttpRequest http = new BasicClassicHttpRequest(request.method(), request.path());
    request.headers().forEach(header -> http.addHeader(header.name(), header.value()));
    long nanosLeft = request.deadlineNanos() - time.nanos();
    dialect.state(http, request, run, nanosLeft);
    boolean hasBody = request.bodyLength() != 0 || request.bodyPrefix().length > 0;
    if (hasBody) {
      setBody(http, request);
    }
    return http;
  }

  private void setBody(BasicClassicHttpRequest http, CallRequest request) {
    InputStream body = new ByteArrayInputStream(request.bodyPrefix());
    long length = request.bodyLength();
    if (request.bodyComplete()) {
      length = request.bodyPrefix().length;
    } else {
      body = new SequenceInputStream(body, call.rest());
    }
    boolean chunked = length < 0;
    http.setEntity(new InputStreamEntity(body, length, null));
    if (chunked) {
      http.setHeader("Transfer-Encoding", "chunked");
    } else {
      http.setHeader("Content-Length", Long.toString(length));
    }
  }

  private ClassicHttpResponse receiveHead(ClassicHttpRequest request)
      throws IOException, HttpException {
    connection.setTimeoutNanos(call.request().deadlineNanos() - time.nanos());
    ClassicHttpResponse response = connection.receiveResponseHeader();
    for (int interim = 0; response.getCode() < 200; interim++) {
      if (interim == MAX_INTERIM) {
        throw new HttpException("the target sent only interim answers");
      }
      response = connection.receiveResponseHeader();
    }
    if (mayHaveBody(request, response)) {
      connection.receiveResponseEntity(response);
    }
    return response;
  }

  private static boolean mayHaveBody(ClassicHttpRequest request, ClassicHttpResponse response) {
    int status = response.getCode();
    return !request.getMethod().equals("HEAD") && status != NO_CONTENT && status != NOT_MODIFIED;
  }

  private Outcome<CallResponse> toOutcome(ClassicHttpRequest request, ClassicHttpResponse response)
      throws IOException, HttpException {
    ClassicHttpResponse own = passOverForeign(request, response);
    connection.readKeepAlive(own);
    slowdown = dialect.slowdown(own);
    return switch (dialect.judge(call.request(), own)) {
      case TargetDialect.Judgement.Answer answer -> {
        onNotice.accept(dialect.notice(own));
        yield answer(request, own);
      }
      case TargetDialect.Judgement.NotRun notRun -> {
        noticeRefusal(own, notRun.code());
        yield refused(request, own, notRun.code());
      }
      case TargetDialect.Judgement.Unusable unusable ->
          broken(
              Kind.BROKEN,
              ResultCode.TARGET_BROKE_OFF,
              "the target's answer may not reach the caller");
      case TargetDialect.Judgement.Foreign foreign ->
          broken(Kind.BROKEN, ResultCode.ANSWER_FOREIGN, "the answer belongs to another request");
    };
  }

  // What a refusal does not state it may only have left out, as it is not made with an answer.
  private void noticeRefusal(ClassicHttpResponse response, ResultCode code) {
    TargetNotice notice = dialect.notice(response);
    if (code != ResultCode.TARGET_REPLACED && !notice.equals(TargetNotice.NONE)) {
      onNotice.accept(notice);
    }
  }

  // A late or repeated answer to an earlier request may stand before the one that is waited for.
  private ClassicHttpResponse passOverForeign(
      ClassicHttpRequest request, ClassicHttpResponse response) throws IOException, HttpException {
    ClassicHttpResponse current = response;
    for (int i = 0; i < MAX_FOREIGN && isForeign(current); i++) {
      passedOver = true;
      if (current.getEntity() != null && !isWhole(current.getEntity())) {
        throw new IOException("the answer to another request is too long");
      }
      current = receiveHead(request);
    }
    return current;
  }

  private boolean isForeign(ClassicHttpResponse response) {
    return dialect.judge(call.request(), response) instanceof TargetDialect.Judgement.Foreign;
  }

  private Outcome<CallResponse> refused(
      ClassicHttpRequest request, ClassicHttpResponse response, ResultCode code)
      throws IOException {
    boolean whole = true;
    if (response.getEntity() != null) {
      whole = isWhole(response.getEntity());
    }
    boolean replaced = code == ResultCode.TARGET_REPLACED;
    finish(
        whole && !replaced && keepsAlive(request, response),
        replaced ? Kind.REPLACED : Kind.REFUSED);
    return new Outcome.NotRun<>(code, 0, "the target refused the request without running it");
  }

  /** {@return whether the connection may carry another request after the answer} */
  static boolean keepsAlive(ClassicHttpRequest request, ClassicHttpResponse response) {
    return DefaultConnectionReuseStrategy.INSTANCE.keepAlive(
        request, response, HttpCoreContext.create());
  }

  private Outcome<CallResponse> answer(ClassicHttpRequest request, ClassicHttpResponse response)
      throws IOException {
    boolean keepAlive = keepsAlive(request, response);
    HttpEntity entity = response.getEntity();
    if (entity == null) {
      finish(keepAlive, Kind.ANSWERED);
      return answered(response, new CallResponse.Body.Buffered(new byte[0]));
    }
    InputStream content = entity.getContent();
    if (entity.getContentLength() > CallResponse.MAX_BUFFERED_BYTES) {
      return answered(response, streamed(content, entity.getContentLength(), keepAlive));
    }
    byte[] first = readStart(content, entity.getContentLength());
    if (first.length <= CallResponse.MAX_BUFFERED_BYTES) {
      checkLength(entity.getContentLength(), first.length);
      finish(keepAlive, Kind.ANSWERED);
      return answered(response, new CallResponse.Body.Buffered(first));
    }
    InputStream all = new SequenceInputStream(new ByteArrayInputStream(first), content);
    return answered(response, streamed(all, entity.getContentLength(), keepAlive));
  }

  // Reads a body that is not passed on, and returns whether that was all of it. The rest of a long
  // one, which may have no end, is not worth the wait.
  private static boolean isWhole(HttpEntity entity) throws IOException {
    return entity.getContentLength() <= CallResponse.MAX_BUFFERED_BYTES
        && readStart(entity.getContent(), entity.getContentLength()).length
            <= CallResponse.MAX_BUFFERED_BYTES;
  }

  // Reads a body of known length into an array of just that size, and any other up to one byte more
  // than may be held back.
  private static byte[] readStart(InputStream content, long length) throws IOException {
    if (length < 0) {
      return content.readNBytes(CallResponse.MAX_BUFFERED_BYTES + 1);
    }
    byte[] body = content.readNBytes((int) length);
    if (content.read() >= 0) {
      throw new IOException("the target sent more than it stated");
    }
    return body;
  }

  private static void checkLength(long stated, int received) throws IOException {
    if (stated >= 0 && stated != received) {
      throw new IOException("the target stated " + stated + " bytes, but sent " + received);
    }
  }

  private Outcome<CallResponse> answered(ClassicHttpResponse response, CallResponse.Body body) {
    return new Outcome.Answered<>(
        new CallResponse(response.getCode(), headers(response), body, Optional.empty()));
  }

  private CallResponse.Body streamed(InputStream content, long length, boolean keepAlive) {
    connection.setTimeoutNanos(BODY_IDLE_NANOS);
    InputStream watched =
        new EndNotifyingBody(
            content,
            () -> finish(keepAlive, Kind.ANSWERED),
            () -> finish(false, call.cancelled() ? Kind.CANCELLED : Kind.BROKEN));
    return new CallResponse.Body.Streamed(watched, length);
  }

  private static List<HeaderField> headers(ClassicHttpResponse response) {
    List<HeaderField> headers = new ArrayList<>();
    for (Header header : response.getHeaders()) {
      if (!HeaderField.isHopByHop(header.getName().toLowerCase(Locale.ROOT))) {
        headers.add(new HeaderField(header.getName(), header.getValue()));
      }
    }
    return List.copyOf(headers);
  }
}
