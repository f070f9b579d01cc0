package org.amaranthmoor.daemon.target;

import java.io.ByteArrayInputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.DeadlineWatch;
import org.amaranthmoor.daemon.exchange.EndNotifyingBody;
import org.amaranthmoor.daemon.exchange.HeaderField;
import org.amaranthmoor.daemon.http.StreamedEntity;
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
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpCoreContext;

/**
 * Sends one committed request over a connection and reads the response.
 *
 * <p>Confined to one thread, except for aborting the connection. Invariants: the connection is
 * returned to the pool only after a complete response; {@code onNotice} receives the notice in a
 * response of the intended target before the response is passed on; {@code onHandOver} is called
 * before the request is written, and {@code onDone} exactly once, after the response was read or
 * abandoned, whatever was thrown meanwhile; the exchange does not hold the connection for longer
 * than the deadline.
 */
final class TargetExchange {

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int MIN_STATUS = 100;
  private static final int MIN_FINAL_STATUS = 200;
  private static final int MIN_SERVER_ERROR_STATUS = 500;
  private static final int MAX_STATUS = 599;

  /**
   * Time after the deadline at which an exchange is aborted that a timeout of the socket has not
   * ended, in nanoseconds.
   */
  private static final long ABORT_DELAY_NANOS = 60_000_000L;

  /** Maximum number of interim responses, with a status below 200, that are skipped. */
  private static final int MAX_INTERIM_RESPONSES = 16;

  /** Maximum number of responses to other requests that are skipped on one connection. */
  private static final int MAX_MISMATCHED_RESPONSES = 3;

  /** How an exchange ended. */
  enum Kind {
    /** With a complete response. */
    ANSWERED,
    /** With a refusal by the target. */
    REFUSED,
    /** With a response of another target. */
    REPLACED,
    /** Without a complete response. */
    BROKEN,
    /** Without any response before the deadline. */
    SILENT,
    /** Cancelled by the entry side or its deadline. */
    CANCELLED
  }

  /**
   * The end of an exchange.
   *
   * @param kind how it ended
   * @param slowdown the factor by which the target is slower than usual, if the response states it
   * @param status the status of the response, or 0 if there is none
   */
  record End(Kind kind, OptionalDouble slowdown, int status) {
    /** {@return whether the duration of the exchange is the service time of the target} */
    boolean measuresServiceTime() {
      return kind == Kind.ANSWERED;
    }

    /** {@return whether the target has answered, and not with a failure of its own} */
    boolean isSuccess() {
      return kind == Kind.ANSWERED && status < MIN_SERVER_ERROR_STATUS;
    }
  }

  // Created in advance, as the heap may be full when an exchange ends.
  private static final Map<Kind, End> PLAIN_ENDS =
      Arrays.stream(Kind.values())
          .collect(
              Collectors.toUnmodifiableMap(
                  kind -> kind, kind -> new End(kind, OptionalDouble.empty(), 0)));

  private final InboundCall call;
  private final Optional<TargetRun> run;
  private final TargetDialect dialect;
  private final TargetConnection connection;
  private final TargetConnectionPool pool;
  private final DeadlineWatch deadlineWatch;
  private final TimeSource time;
  private final Runnable onHandOver;
  private final Consumer<TargetNotice> onNotice;
  private final Consumer<End> onDone;
  private OptionalDouble slowdown = OptionalDouble.empty();
  private int status;
  private boolean skippedResponse;
  private boolean headReceived;
  private boolean callerBodyFailed;
  private boolean done;
  private Optional<DeadlineWatch.Watched> watched = Optional.empty();
  private volatile boolean overdue;

  TargetExchange(
      InboundCall call,
      Optional<TargetRun> run,
      TargetDialect dialect,
      TargetConnection connection,
      TargetConnectionPool pool,
      DeadlineWatch deadlineWatch,
      TimeSource time,
      Runnable onHandOver,
      Consumer<TargetNotice> onNotice,
      Consumer<End> onDone) {
    this.call = call;
    this.run = run;
    this.dialect = dialect;
    this.connection = connection;
    this.pool = pool;
    this.deadlineWatch = deadlineWatch;
    this.time = time;
    this.onHandOver = onHandOver;
    this.onNotice = onNotice;
    this.onDone = onDone;
  }

  /** Runs the exchange up to the head of the response, or to its end if the body is small. */
  Outcome<CallResponse> run() {
    boolean ended = false;
    try {
      onHandOver.run();
      call.onCancel(connection::abort);
      watched =
          Optional.of(
              deadlineWatch.watch(
                  call.request().deadlineNanos() + ABORT_DELAY_NANOS, this::abortOverdue));
      Outcome<CallResponse> outcome = sendAndReceive();
      ended = true;
      return outcome;
    } finally {
      if (!ended) {
        // An error of this process says nothing about the target.
        finish(false, Kind.CANCELLED);
      }
    }
  }

  private Outcome<CallResponse> sendAndReceive() {
    try {
      ClassicHttpRequest request = toHttp(call.request());
      send(request);
      ClassicHttpResponse response = receiveHead(request);
      return toOutcome(request, response);
    } catch (SocketTimeoutException e) {
      return failed(
          Kind.SILENT,
          ResultCode.DEADLINE_AFTER_START,
          "the target did not respond before the deadline");
    } catch (IOException | HttpException | RuntimeException e) {
      // The request was committed, so it may have run whatever the failure was. RuntimeException is
      // caught too, so that the slot is released in every case.
      return failed(Kind.BROKEN, ResultCode.TARGET_BROKE_OFF, String.valueOf(e.getMessage()));
    }
  }

  // The thread that works on the exchange notices that the connection was closed.
  private void abortOverdue() {
    overdue = true;
    connection.abort();
  }

  private Outcome<CallResponse> failed(Kind kind, ResultCode code, String detail) {
    Kind end = endAs(headReceived ? kind : Kind.SILENT, kind);
    finish(false, end);
    boolean late = end == Kind.CANCELLED || end == Kind.SILENT;
    return new Outcome.Unknown<>(late ? ResultCode.DEADLINE_AFTER_START : code, detail);
  }

  private Kind endAs(Kind ifOverdue, Kind otherwise) {
    if (call.cancelled() || callerBodyFailed) {
      return Kind.CANCELLED;
    }
    return overdue ? ifOverdue : otherwise;
  }

  private void finish(boolean reusable, Kind kind) {
    if (done) {
      return;
    }
    done = true;
    End end = PLAIN_ENDS.get(kind);
    try {
      call.clearOnCancel();
      watched.ifPresent(DeadlineWatch.Watched::close);
      if (reusable && !skippedResponse && !call.cancelled() && !overdue) {
        pool.release(connection);
      } else {
        connection.abort();
      }
      end = new End(kind, slowdown, status);
    } finally {
      onDone.accept(end);
    }
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
    // Not as a URI, of which a path that begins with two slashes would lose its begin.
    BasicClassicHttpRequest http =
        new BasicClassicHttpRequest(request.method(), null, null, request.path());
    request.headers().forEach(header -> http.addHeader(header.name(), header.value()));
    long nanosLeft = request.deadlineNanos() - time.nanos();
    dialect.addCallHeaders(http, request, run, nanosLeft);
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
      body =
          new SequenceInputStream(
              body,
              new CallerBody(
                  call.remainingBody(), Math.max(0, length - request.bodyPrefix().length)));
    }
    boolean chunked = length < 0;
    http.setEntity(new StreamedEntity(body, length));
    if (chunked) {
      http.setHeader("Transfer-Encoding", "chunked");
    } else {
      http.setHeader("Content-Length", Long.toString(length));
    }
  }

  private ClassicHttpResponse receiveHead(ClassicHttpRequest request)
      throws IOException, HttpException {
    connection.setTimeoutNanos(call.request().deadlineNanos() - time.nanos());
    ClassicHttpResponse response = receiveValidHead();
    for (int interim = 0; response.getCode() < MIN_FINAL_STATUS; interim++) {
      if (interim == MAX_INTERIM_RESPONSES) {
        throw new HttpException(
            "the target sent more than " + MAX_INTERIM_RESPONSES + " interim responses");
      }
      response = receiveValidHead();
    }
    if (mayHaveBody(request, response)) {
      connection.receiveResponseEntity(response);
    }
    return response;
  }

  // A status outside of the defined classes says nothing about the request, and no request asks to
  // switch protocols.
  private ClassicHttpResponse receiveValidHead() throws IOException, HttpException {
    ClassicHttpResponse response = connection.receiveResponseHeader();
    int status = response.getCode();
    if (status < MIN_STATUS || status > MAX_STATUS || status == SWITCHING_PROTOCOLS) {
      throw new HttpException("the target sent the invalid status " + status);
    }
    return response;
  }

  private static boolean mayHaveBody(ClassicHttpRequest request, ClassicHttpResponse response) {
    int status = response.getCode();
    return !request.getMethod().equals("HEAD") && status != NO_CONTENT && status != NOT_MODIFIED;
  }

  private Outcome<CallResponse> toOutcome(ClassicHttpRequest request, ClassicHttpResponse response)
      throws IOException, HttpException {
    ClassicHttpResponse current = skipMismatched(request, response);
    connection.readKeepAlive(current);
    slowdown = dialect.slowdown(current);
    return switch (classify(current)) {
      case TargetDialect.Classification.Valid valid -> {
        onNotice.accept(dialect.notice(current));
        yield readResponse(request, current);
      }
      case TargetDialect.Classification.NotRun notRun -> {
        applyRefusalNotice(current, notRun.code());
        yield toNotRun(request, current, notRun);
      }
      case TargetDialect.Classification.Unusable unusable ->
          failed(
              Kind.BROKEN,
              ResultCode.TARGET_BROKE_OFF,
              "the target's response must not be passed on to the caller");
      case TargetDialect.Classification.Mismatched mismatched ->
          failed(
              Kind.BROKEN,
              ResultCode.ANSWER_FOREIGN,
              "the target's response belongs to another request");
    };
  }

  // A refusal without a notice does not withdraw an earlier notice: it is not built like a response
  // to a request that has run, and may only have left the headers out.
  private void applyRefusalNotice(ClassicHttpResponse response, ResultCode code) {
    TargetNotice notice = dialect.notice(response);
    if (code != ResultCode.TARGET_REPLACED && !notice.equals(TargetNotice.NONE)) {
      onNotice.accept(notice);
    }
  }

  // A late or repeated response to an earlier request may precede the expected one.
  private ClassicHttpResponse skipMismatched(
      ClassicHttpRequest request, ClassicHttpResponse response) throws IOException, HttpException {
    ClassicHttpResponse current = response;
    for (int i = 0; i < MAX_MISMATCHED_RESPONSES && isMismatched(current); i++) {
      skippedResponse = true;
      if (current.getEntity() != null && !discardBody(current.getEntity())) {
        throw new IOException("the target's response to another request is too long to be skipped");
      }
      current = receiveHead(request);
    }
    return current;
  }

  private boolean isMismatched(ClassicHttpResponse response) {
    return classify(response) instanceof TargetDialect.Classification.Mismatched;
  }

  private TargetDialect.Classification classify(ClassicHttpResponse response) {
    return dialect.classify(call.request(), response, connection.kept());
  }

  private Outcome<CallResponse> toNotRun(
      ClassicHttpRequest request,
      ClassicHttpResponse response,
      TargetDialect.Classification.NotRun notRun)
      throws IOException {
    boolean whole = true;
    if (response.getEntity() != null) {
      whole = discardBody(response.getEntity());
    }
    boolean replaced = notRun.code() == ResultCode.TARGET_REPLACED;
    finish(
        whole && notRun.identified() && !replaced && keepsAlive(request, response),
        replaced ? Kind.REPLACED : Kind.REFUSED);
    return new Outcome.NotRun<>(
        notRun.code(), 0, "the target refused the request without running it");
  }

  /** {@return whether the connection may carry another request after the response} */
  static boolean keepsAlive(ClassicHttpRequest request, ClassicHttpResponse response) {
    return DefaultConnectionReuseStrategy.INSTANCE.keepAlive(
        request, response, HttpCoreContext.create());
  }

  private Outcome<CallResponse> readResponse(
      ClassicHttpRequest request, ClassicHttpResponse response) throws IOException {
    status = response.getCode();
    headReceived = true;
    boolean keepAlive = keepsAlive(request, response);
    HttpEntity entity = response.getEntity();
    if (entity == null) {
      connection.checkEndOfResponse();
      finish(keepAlive, Kind.ANSWERED);
      return toAnswered(response, new CallResponse.Body.Buffered(new byte[0]));
    }
    InputStream content = entity.getContent();
    if (entity.getContentLength() > CallResponse.MAX_BUFFERED_BYTES) {
      return toAnswered(response, toStreamedBody(content, entity.getContentLength(), keepAlive));
    }
    byte[] first = readPrefix(content, entity.getContentLength());
    if (first.length <= CallResponse.MAX_BUFFERED_BYTES) {
      checkLength(entity.getContentLength(), first.length);
      connection.checkEndOfResponse();
      finish(keepAlive, Kind.ANSWERED);
      return toAnswered(response, new CallResponse.Body.Buffered(first));
    }
    InputStream all = new SequenceInputStream(new ByteArrayInputStream(first), content);
    return toAnswered(response, toStreamedBody(all, entity.getContentLength(), keepAlive));
  }

  // Reads a body that is not passed on, and returns whether that was all of it. A long body may be
  // endless, so the rest is not read.
  private static boolean discardBody(HttpEntity entity) throws IOException {
    return entity.getContentLength() <= CallResponse.MAX_BUFFERED_BYTES
        && readPrefix(entity.getContent(), entity.getContentLength()).length
            <= CallResponse.MAX_BUFFERED_BYTES;
  }

  // Reads a body of known length into an array of exactly that size; of any other body, reads up to
  // one byte more than may be buffered.
  private static byte[] readPrefix(InputStream content, long length) throws IOException {
    if (length < 0) {
      return content.readNBytes(CallResponse.MAX_BUFFERED_BYTES + 1);
    }
    byte[] body = content.readNBytes((int) length);
    if (content.read() >= 0) {
      throw new IOException("the target sent more than the " + length + " bytes that it stated");
    }
    return body;
  }

  private static void checkLength(long stated, int received) throws IOException {
    if (stated >= 0 && stated != received) {
      throw new IOException(
          "the target stated a body of " + stated + " bytes, but sent " + received);
    }
  }

  private Outcome<CallResponse> toAnswered(ClassicHttpResponse response, CallResponse.Body body) {
    return new Outcome.Answered<>(
        new CallResponse(response.getCode(), headers(response), body, Optional.empty()));
  }

  private CallResponse.Body toStreamedBody(InputStream content, long length, boolean keepAlive) {
    InputStream body =
        new EndNotifyingBody(
            new CheckedEndBody(content, length),
            length,
            () -> finish(keepAlive, Kind.ANSWERED),
            // Whether the target or the reader of the response was too slow is not known.
            () -> finish(false, endAs(Kind.CANCELLED, Kind.BROKEN)));
    return new CallResponse.Body.Streamed(body, length);
  }

  // A body that the caller does not complete is no failure of the target.
  private final class CallerBody extends FilterInputStream {

    // Bytes of the stated length that have not arrived.
    private long left;

    CallerBody(InputStream body, long statedBytes) {
      super(body);
      this.left = statedBytes;
    }

    @Override
    public int read() throws IOException {
      byte[] one = new byte[1];
      return read(one, 0, 1) < 0 ? -1 : one[0] & 0xFF;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
      try {
        int count = in.read(buffer, offset, length);
        if (count < 0 && left > 0) {
          throw new IOException("the request's body ended before its stated length");
        }
        left -= Math.max(0, count);
        return count;
      } catch (IOException e) {
        callerBodyFailed = true;
        throw e;
      }
    }
  }

  // Fails before its last bytes are passed on if the end of the response is not sound.
  private final class CheckedEndBody extends FilterInputStream {

    private final boolean lengthKnown;
    private long left;

    CheckedEndBody(InputStream body, long statedBytes) {
      super(body);
      this.lengthKnown = statedBytes >= 0;
      this.left = statedBytes;
    }

    @Override
    public int read() throws IOException {
      byte[] one = new byte[1];
      return read(one, 0, 1) < 0 ? -1 : one[0] & 0xFF;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
      int count = in.read(buffer, offset, length);
      left -= Math.max(0, count);
      if (lengthKnown ? left <= 0 : count < 0) {
        connection.checkEndOfResponse();
      }
      return count;
    }
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
