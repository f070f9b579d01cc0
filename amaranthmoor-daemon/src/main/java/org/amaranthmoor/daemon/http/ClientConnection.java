package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.function.Supplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.http.io.SessionOutputBuffer;

/**
 * A connection to an HTTP server, on which neither a response that is cut off nor a request whose
 * body fails ever appears complete, and a response whose head is malformed is rejected.
 *
 * <p>Used by one thread at a time, except for closing it.
 */
public class ClientConnection extends DefaultBHttpClientConnection {

  private static final Http1Config CONFIG =
      Http1Config.custom().setBufferSize(StreamedEntity.CONNECTION_BUFFER_BYTES).build();

  /** Largest length of a line of a head, in bytes, if the configuration has no bound. */
  private static final int DEFAULT_MAX_LINE_LENGTH = 8_192;

  private final CompleteHeadParser<ClassicHttpResponse> parser;

  /** Creates a connection that is not bound to a socket yet. */
  public ClientConnection() {
    this(CONFIG);
  }

  /**
   * Creates a connection that is not bound to a socket yet.
   *
   * @param config the bounds of a response's head
   */
  ClientConnection(Http1Config config) {
    this(
        config,
        new CompleteHeadParser<>(
            new DefaultHttpResponseParserFactory(config, new StatusLineParser(), null).create(),
            buffer -> new FieldLineBuffer(buffer, maxLineLength(config))));
  }

  private ClientConnection(Http1Config head, CompleteHeadParser<ClassicHttpResponse> parser) {
    super(head, null, HeadCharacters.newEncoder(), null, null, null, config -> parser);
    this.parser = parser;
  }

  private static int maxLineLength(Http1Config config) {
    return config.getMaxLineLength() > 0 ? config.getMaxLineLength() : DEFAULT_MAX_LINE_LENGTH;
  }

  /** {@return whether bytes after the last response that was read are buffered} */
  protected boolean hasBufferedBytes() {
    return parser.hasBufferedBytes();
  }

  /**
   * Checks that the bytes that have arrived after a response can be another response. Others may
   * belong to the body of the response, if the length that it states is too small.
   *
   * @throws IOException if they cannot
   */
  public void checkEndOfResponse() throws IOException {
    if (!parser.precedesStatusLine()) {
      throw new MalformedResponseException("the response is longer than it states");
    }
  }

  @Override
  public void receiveResponseEntity(ClassicHttpResponse response)
      throws HttpException, IOException {
    ResponseFraming.check(response);
    super.receiveResponseEntity(response);
  }

  @Override
  public void sendRequestEntity(ClassicHttpRequest request) throws HttpException, IOException {
    if (request.getEntity() != null) {
      request.setEntity(new WholeBodyEntity(request.getEntity()));
    }
    super.sendRequestEntity(request);
  }

  @Override
  protected OutputStream createContentOutputStream(
      long length,
      SessionOutputBuffer buffer,
      OutputStream out,
      Supplier<List<? extends Header>> trailers) {
    return new FailClosedOutputStream(
        super.createContentOutputStream(length, buffer, out, trailers),
        length,
        this,
        Optional.empty());
  }

  @Override
  protected InputStream createContentInputStream(
      long length, SessionInputBuffer buffer, InputStream in) {
    return super.createContentInputStream(length, new CompleteLineBuffer(buffer, false), in);
  }
}
