package org.amaranthmoor.testkit.caller;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.InputStreamEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * An HTTP caller that keeps one connection open and reuses it.
 *
 * <p>Used by one thread.
 */
public final class HttpCaller implements AutoCloseable {

  private static final HttpProcessor PROCESSOR = HttpProcessors.client("caller");
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final InetSocketAddress address;
  private final Timeout timeout;
  private Optional<DefaultBHttpClientConnection> connection = Optional.empty();

  /**
   * Creates a caller that connects on first use.
   *
   * @param address the server
   * @param timeoutMillis socket timeout while waiting for a response, in milliseconds
   */
  public HttpCaller(InetSocketAddress address, long timeoutMillis) {
    this.address = address;
    this.timeout = Timeout.ofMilliseconds(timeoutMillis);
  }

  /**
   * A response with its complete body.
   *
   * @param status the HTTP status
   * @param head the status line and the headers
   * @param body the body
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Response(int status, ClassicHttpResponse head, byte[] body) {
    /**
     * Returns the value of a header.
     *
     * @param name the header
     * @return its value, or an empty string if it is absent
     */
    public String header(String name) {
      Header header = head.getFirstHeader(name);
      return header == null ? "" : header.getValue();
    }

    /** {@return the body, decoded as UTF-8} */
    public String text() {
      return new String(body, java.nio.charset.StandardCharsets.UTF_8);
    }
  }

  /**
   * Makes a call.
   *
   * @param builder the request
   * @return the response
   * @throws IOException if no complete response arrives
   */
  public Response call(ClassicRequestBuilder builder) throws IOException {
    return execute(builder.build());
  }

  /**
   * Makes a call with a body.
   *
   * @param builder the request
   * @param body the body
   * @return the response
   * @throws IOException if no complete response arrives
   */
  public Response call(ClassicRequestBuilder builder, byte[] body) throws IOException {
    return upload(builder, new ByteArrayInputStream(body), body.length);
  }

  /**
   * Makes a call with a streamed body.
   *
   * @param builder the request
   * @param body the body
   * @param length its length in bytes, or -1 if not known
   * @return the response
   * @throws IOException if no complete response arrives
   */
  public Response upload(ClassicRequestBuilder builder, InputStream body, long length)
      throws IOException {
    return execute(builder.setEntity(new InputStreamEntity(body, length, null)).build());
  }

  private Response execute(ClassicHttpRequest request) throws IOException {
    request.setHeader("Host", address.getAddress().getHostAddress() + ":" + address.getPort());
    DefaultBHttpClientConnection open = connect();
    HttpRequestExecutor executor = new HttpRequestExecutor();
    HttpCoreContext context = HttpCoreContext.create();
    boolean reusable = false;
    try {
      executor.preProcess(request, PROCESSOR, context);
      ClassicHttpResponse response = executor.execute(request, open, context);
      byte[] body =
          response.getEntity() == null
              ? new byte[0]
              : EntityUtils.toByteArray(response.getEntity());
      reusable = executor.keepAlive(request, response, open, context);
      return new Response(response.getCode(), response, body);
    } catch (HttpException e) {
      throw new IOException(
          "the response of " + address + " is not valid HTTP: " + e.getMessage(), e);
    } finally {
      if (!reusable) {
        close();
      }
    }
  }

  private DefaultBHttpClientConnection connect() throws IOException {
    if (connection.isPresent() && connection.get().isOpen()) {
      return connection.get();
    }
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(address, CONNECT_TIMEOUT_MILLIS);
    DefaultBHttpClientConnection open = new DefaultBHttpClientConnection(Http1Config.DEFAULT);
    open.bind(socket);
    open.setSocketTimeout(timeout);
    connection = Optional.of(open);
    return open;
  }

  @Override
  public void close() {
    connection.ifPresent(open -> open.close(CloseMode.IMMEDIATE));
    connection = Optional.empty();
  }
}
