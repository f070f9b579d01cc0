package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.function.IntConsumer;
import org.apache.hc.core5.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.http.io.SessionOutputBuffer;
import org.apache.hc.core5.http.message.BasicLineParser;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.io.Closer;
import org.apache.hc.core5.util.Timeout;

/**
 * A connection from an HTTP client, on which neither a request that is cut off nor a response whose
 * body fails ever appears complete.
 *
 * <p>Used by one thread at a time, except for {@link #inExchange}.
 */
class ServerConnection extends DefaultBHttpServerConnection {

  private static final int FIRST_FINAL_STATUS = 200;

  private final CompleteHeadParser<ClassicHttpRequest> parser;
  private final HeadLimits headLimits;
  private volatile Optional<Socket> socket = Optional.empty();
  // Whether a response body has been begun and not ended well.
  private volatile boolean withinBody;
  private volatile boolean inExchange;

  ServerConnection(Http1Config config) {
    this(config, new HeadLimits());
  }

  private ServerConnection(Http1Config config, HeadLimits headLimits) {
    this(
        config,
        headLimits,
        new CompleteHeadParser<>(
            new RedactingHeadParser(
                new DefaultHttpRequestParserFactory(
                        config, BasicLineParser.INSTANCE, RequestHead.FACTORY)
                    .create()),
            headLimits::limit));
  }

  private ServerConnection(
      Http1Config config, HeadLimits headLimits, CompleteHeadParser<ClassicHttpRequest> parser) {
    super(
        "http",
        config,
        null,
        HeadCharacters.newEncoder(),
        null,
        null,
        parserConfig -> parser,
        null);
    this.headLimits = headLimits;
    this.parser = parser;
  }

  // Passes the reader of the current request to the parser, which is created before the connection.
  private static final class HeadLimits {

    private volatile Optional<RequestReader> reader = Optional.empty();
    private IntConsumer setTimeoutMillis = millis -> {};

    SessionInputBuffer limit(SessionInputBuffer buffer) {
      return reader
          .<SessionInputBuffer>map(
              current -> new LimitedLineBuffer(buffer, current, true, setTimeoutMillis))
          .orElse(buffer);
    }
  }

  /** Limits the next request; without a reader, requests have no limits. */
  void beginRequest(RequestReader reader) {
    headLimits.reader = Optional.of(reader);
    headLimits.setTimeoutMillis = this::setHeadTimeoutMillis;
  }

  // The time limit of the body applies again once the head has arrived.
  private void setHeadTimeoutMillis(int millis) {
    setSocketTimeout(Timeout.ofMilliseconds(millis));
  }

  /** {@return the reader of the current request, or of the last one} */
  Optional<RequestReader> reader() {
    return headLimits.reader;
  }

  @Override
  public ClassicHttpRequest receiveRequestHeader() throws HttpException, IOException {
    Timeout timeout = getSocketTimeout();
    ClassicHttpRequest request = super.receiveRequestHeader();
    if (isOpen()) {
      setSocketTimeout(timeout);
    }
    return request;
  }

  @Override
  public void sendResponseHeader(ClassicHttpResponse response) throws HttpException, IOException {
    // A body that is still arriving may wait for the target, not for the client.
    boolean whole = !(response.getEntity() instanceof StreamedEntity);
    if (response.getCode() >= FIRST_FINAL_STATUS && whole) {
      long length = response.getEntity() == null ? 0 : response.getEntity().getContentLength();
      reader().ifPresent(current -> current.onResponse(length));
    }
    super.sendResponseHeader(response);
  }

  @Override
  public void bind(Socket bound) throws IOException {
    socket = Optional.of(bound);
    super.bind(bound);
  }

  @Override
  protected void onRequestReceived(ClassicHttpRequest request) {
    inExchange = true;
  }

  /** Records that the response to the last request has been sent. */
  void onExchangeEnd() {
    inExchange = false;
  }

  /** {@return whether a request has been received whose response has not been sent} */
  boolean inExchange() {
    return inExchange;
  }

  /** {@return whether bytes after the last request that was read are buffered} */
  boolean hasBufferedBytes() {
    return parser.hasBufferedBytes();
  }

  // HttpCore flushes after each response, also if it has just closed the connection, which sends
  // the response.
  @Override
  public void flush() throws IOException {
    if (isOpen()) {
      super.flush();
    }
  }

  @Override
  public void sendResponseEntity(ClassicHttpResponse response) throws HttpException, IOException {
    if (response.getEntity() != null) {
      response.setEntity(new WholeBodyEntity(response.getEntity()));
    }
    super.sendResponseEntity(response);
    withinBody = false;
  }

  @Override
  protected OutputStream createContentOutputStream(
      long length,
      SessionOutputBuffer buffer,
      OutputStream out,
      Supplier<List<? extends Header>> trailers) {
    withinBody = true;
    return new FailClosedOutputStream(
        super.createContentOutputStream(length, buffer, observed(out), trailers),
        length,
        this,
        socket);
  }

  private OutputStream observed(OutputStream out) {
    return reader()
        .<OutputStream>map(current -> new ProgressOutputStream(out, current::onProgress))
        .orElse(out);
  }

  /** Closes the connection; within a response body, resets it in any mode. */
  @Override
  public void close(CloseMode mode) {
    try {
      super.close(withinBody ? CloseMode.IMMEDIATE : mode);
    } finally {
      // HttpCore forgets the socket before it closes it, so an earlier close may have failed.
      socket.ifPresent(Closer::closeQuietly);
    }
  }

  @Override
  protected InputStream createContentInputStream(
      long length, SessionInputBuffer buffer, InputStream in) {
    Optional<RequestReader> current = reader();
    if (current.isEmpty()) {
      return super.createContentInputStream(length, new CompleteLineBuffer(buffer, false), in);
    }
    RequestReader limited = current.get();
    limited.restartLines();
    LimitedLineBuffer lines = new LimitedLineBuffer(buffer, limited, false, millis -> {});
    InputStream body =
        super.createContentInputStream(length, new CompleteLineBuffer(lines, false), in);
    boolean chunked = length == ContentLengthStrategy.CHUNKED;
    return new LimitedBody(
        body,
        limited,
        new LimitedBody.Arrived() {
          @Override
          public boolean hasChunk() throws IOException {
            return chunked && lines.hasChunk(in);
          }

          @Override
          public void flushResponse() throws IOException {
            flush();
          }
        });
  }

  @Override
  public void receiveRequestEntity(ClassicHttpRequest request) throws HttpException, IOException {
    super.receiveRequestEntity(request);
    if (reader().isPresent() && request.getEntity() != null) {
      reader().get().checkLength(request.getEntity().getContentLength());
    }
  }
}
