package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * A connection to an HTTP server, on which neither a response that is cut off nor a request whose
 * body fails ever appears complete.
 *
 * <p>Used by one thread at a time, except for closing it.
 */
public class ClientConnection extends DefaultBHttpClientConnection {

  private final CompleteHeadParser<ClassicHttpResponse> parser;

  /** Creates a connection that is not bound to a socket yet. */
  public ClientConnection() {
    this(Http1Config.DEFAULT);
  }

  /**
   * Creates a connection that is not bound to a socket yet.
   *
   * @param config the bounds of a response's head
   */
  ClientConnection(Http1Config config) {
    this(config, new CompleteHeadParser<>(new DefaultHttpResponseParserFactory(config).create()));
  }

  private ClientConnection(Http1Config head, CompleteHeadParser<ClassicHttpResponse> parser) {
    super(head, null, null, null, null, null, config -> parser);
    this.parser = parser;
  }

  /** {@return whether bytes after the last response that was read are buffered} */
  protected boolean hasBufferedBytes() {
    return parser.hasBufferedBytes();
  }

  @Override
  public void sendRequestEntity(ClassicHttpRequest request) throws HttpException, IOException {
    if (request.getEntity() != null) {
      request.setEntity(new AbortingEntity(request.getEntity(), this));
    }
    super.sendRequestEntity(request);
  }

  @Override
  protected InputStream createContentInputStream(
      long length, SessionInputBuffer buffer, InputStream in) {
    return super.createContentInputStream(length, new CompleteLineBuffer(buffer, false), in);
  }
}
