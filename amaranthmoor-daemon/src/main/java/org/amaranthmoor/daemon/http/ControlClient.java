package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import jdk.net.ExtendedSocketOptions;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestUserAgent;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * Makes one small HTTP request at a time, each on a new connection.
 *
 * <p>Stateless but for its address; safe for use by several threads.
 */
public final class ControlClient {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Silence after which a waiting connection is asked for a sign of life, in seconds. */
  private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

  /** Time between two questions for a sign of life, in seconds. */
  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;

  /** Questions without an answer after which a connection counts as lost. */
  private static final int KEEP_ALIVE_PROBES = 2;

  // Without the interceptor that asks servers to confirm a body first: one that does not confirm
  // would hold up every append for seconds.
  private static final HttpProcessor PROCESSOR =
      HttpProcessorBuilder.create()
          .addAll(
              new RequestContent(), new RequestConnControl(), new RequestUserAgent("amaranthmoor"))
          .build();

  private final Endpoint endpoint;
  private final int timeoutMillis;

  /**
   * Creates a client.
   *
   * @param endpoint the server
   * @param timeoutMillis longest time to wait for an answer, in milliseconds
   */
  public ControlClient(Endpoint endpoint, int timeoutMillis) {
    this.endpoint = endpoint;
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * An answer.
   *
   * @param status the HTTP status
   * @param body the whole body
   * @param response the head, for its headers
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Reply(int status, byte[] body, ClassicHttpResponse response) {
    /** {@return the body as text} */
    public String text() {
      return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Reads a header that holds a whole number.
     *
     * @param name the header
     * @return the number, or empty if there is none
     */
    public Optional<Long> longHeader(String name) {
      Header header = response.getFirstHeader(name);
      try {
        return header == null ? Optional.empty() : Optional.of(Long.parseLong(header.getValue()));
      } catch (NumberFormatException e) {
        return Optional.empty();
      }
    }
  }

  /** Thrown if no connection could be opened, so that nothing was sent. */
  public static final class NotConnectedException extends IOException {
    private static final long serialVersionUID = 1L;

    NotConnectedException(IOException cause) {
      super("cannot connect: " + cause.getMessage(), cause);
    }
  }

  /**
   * Gets a resource.
   *
   * @param path the path with query
   * @return the answer
   * @throws IOException if there is no whole answer
   */
  public Reply get(String path) throws IOException {
    return execute(ClassicRequestBuilder.get(path).build());
  }

  /**
   * Posts bytes.
   *
   * @param path the path with query
   * @param body the bytes
   * @return the answer
   * @throws IOException if there is no whole answer; the request may have been run unless it is a
   *     {@link NotConnectedException}
   */
  public Reply post(String path, byte[] body) throws IOException {
    ByteArrayEntity entity = new ByteArrayEntity(body, ContentType.APPLICATION_OCTET_STREAM);
    return execute(ClassicRequestBuilder.post(path).setEntity(entity).build());
  }

  private Reply execute(ClassicHttpRequest request) throws IOException {
    request.setHeader("Host", endpoint.toString());
    DefaultBHttpClientConnection connection = new DefaultBHttpClientConnection(Http1Config.DEFAULT);
    try (Socket socket = connect()) {
      connection.bind(socket);
      connection.setSocketTimeout(Timeout.ofMilliseconds(timeoutMillis));
      HttpRequestExecutor executor = new HttpRequestExecutor();
      HttpCoreContext context = HttpCoreContext.create();
      executor.preProcess(request, PROCESSOR, context);
      try (ClassicHttpResponse response = executor.execute(request, connection, context)) {
        byte[] body =
            response.getEntity() == null
                ? new byte[0]
                : EntityUtils.toByteArray(response.getEntity());
        return new Reply(response.getCode(), body, response);
      }
    } catch (HttpException e) {
      throw new IOException("the answer is not valid HTTP: " + e.getMessage(), e);
    } finally {
      connection.close(CloseMode.IMMEDIATE);
    }
  }

  // A connection that has gone silent without a reset would be waited on for the whole time limit
  // of
  // a long read.
  private static void enableKeepAlive(Socket socket) throws IOException {
    socket.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
    socket.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS);
    socket.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, KEEP_ALIVE_INTERVAL_SECONDS);
    socket.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, KEEP_ALIVE_PROBES);
  }

  private Socket connect() throws NotConnectedException {
    Socket socket = new Socket();
    try {
      socket.setTcpNoDelay(true);
      enableKeepAlive(socket);
      socket.connect(endpoint.socketAddress(), CONNECT_TIMEOUT_MILLIS);
      return socket;
    } catch (IOException e) {
      throw new NotConnectedException(e);
    }
  }
}
