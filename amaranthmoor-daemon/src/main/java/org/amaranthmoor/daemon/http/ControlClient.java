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
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
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
 * HTTP client for small control requests, each on a new connection.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class ControlClient {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Time without received data after which TCP sends a keep-alive probe. */
  private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

  /** Time between two keep-alive probes. */
  private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;

  /** Number of unacknowledged keep-alive probes after which TCP closes the connection. */
  private static final int KEEP_ALIVE_PROBES = 2;

  // Does not send "Expect: 100-continue": a server that ignores it would delay every append by
  // seconds.
  private static final HttpProcessor PROCESSOR =
      HttpProcessorBuilder.create()
          .addAll(
              new RequestContent(), new RequestConnControl(), new RequestUserAgent("amaranthmoor"))
          .build();

  /** Largest body of a response on a large heap, in bytes. */
  private static final int MAX_BODY_BYTES = 8 << 20;

  /**
   * Part of the heap that the largest body of a response takes: while it is read, its bytes, its
   * text, what is parsed and what is decoded from that are in memory together.
   */
  private static final int HEAP_SHARE_DIVISOR = 16;

  // As for requests that a node receives.
  private static final Http1Config CONFIG =
      Http1Config.custom().setMaxHeaderCount(128).setMaxLineLength(16_384).build();

  private final Endpoint endpoint;
  private final int timeoutMillis;
  private final int maxBodyBytes;

  /**
   * Creates a client.
   *
   * @param endpoint the server
   * @param timeoutMillis maximum time to wait for data of the response, in milliseconds
   */
  public ControlClient(Endpoint endpoint, int timeoutMillis) {
    this(endpoint, timeoutMillis, bodyLimit(Runtime.getRuntime().maxMemory()));
  }

  /**
   * Creates a client.
   *
   * @param endpoint the server
   * @param timeoutMillis maximum time to wait for data of the response, in milliseconds
   * @param maxBodyBytes largest body of a response, in bytes
   */
  public ControlClient(Endpoint endpoint, int timeoutMillis, int maxBodyBytes) {
    this.endpoint = endpoint;
    this.timeoutMillis = timeoutMillis;
    this.maxBodyBytes = maxBodyBytes;
  }

  /**
   * Returns the largest body of a response that a process can read besides its other work.
   *
   * @param maxHeapBytes the bound of its heap, in bytes
   * @return the number of bytes
   */
  public static int bodyLimit(long maxHeapBytes) {
    return (int) Math.min(MAX_BODY_BYTES, maxHeapBytes / HEAP_SHARE_DIVISOR);
  }

  /**
   * A response.
   *
   * @param status the HTTP status
   * @param body the complete body
   * @param response the response, for its headers
   */
  @SuppressWarnings("ArrayRecordComponent")
  public record Reply(int status, byte[] body, ClassicHttpResponse response) {
    /** {@return the body as text} */
    public String text() {
      return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Reads a header whose value is an integer.
     *
     * @param name the header
     * @return the value, or empty if the header is missing or not an integer
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

  /** Thrown if no connection could be opened; nothing was sent. */
  public static final class NotConnectedException extends IOException {
    private static final long serialVersionUID = 1L;

    NotConnectedException(IOException cause) {
      super("cannot connect to the server: " + cause.getMessage(), cause);
    }
  }

  /** Thrown if the body of a response is larger than this process can read. */
  public static final class BodyTooLargeException extends IOException {
    private static final long serialVersionUID = 1L;

    BodyTooLargeException(int maxBodyBytes) {
      super("the body of the response exceeds " + maxBodyBytes + " bytes");
    }
  }

  /**
   * Sends a GET request.
   *
   * @param path the path with its query
   * @return the response
   * @throws IOException if no complete response was received
   */
  public Reply get(String path) throws IOException {
    return get(path, timeoutMillis);
  }

  /**
   * Sends a GET request with a timeout of its own.
   *
   * @param path the path with its query
   * @param timeoutMillis maximum time to wait for data of the response, in milliseconds
   * @return the response
   * @throws IOException if no complete response was received
   */
  public Reply get(String path, int timeoutMillis) throws IOException {
    return execute(ClassicRequestBuilder.get(path).build(), timeoutMillis);
  }

  /**
   * Sends a POST request.
   *
   * @param path the path with its query
   * @param body the body
   * @return the response
   * @throws IOException if no complete response was received; the server may have run the request
   *     unless the exception is a {@link NotConnectedException}
   */
  public Reply post(String path, byte[] body) throws IOException {
    ByteArrayEntity entity = new ByteArrayEntity(body, ContentType.APPLICATION_OCTET_STREAM);
    return execute(ClassicRequestBuilder.post(path).setEntity(entity).build(), timeoutMillis);
  }

  private Reply execute(ClassicHttpRequest request, int timeoutMillis) throws IOException {
    request.setHeader("Host", endpoint.toString());
    ClientConnection connection = new ClientConnection(CONFIG);
    try (Socket socket = connect()) {
      connection.bind(socket);
      connection.setSocketTimeout(Timeout.ofMilliseconds(timeoutMillis));
      HttpRequestExecutor executor = new HttpRequestExecutor();
      HttpCoreContext context = HttpCoreContext.create();
      executor.preProcess(request, PROCESSOR, context);
      try (ClassicHttpResponse response = executor.execute(request, connection, context)) {
        return new Reply(response.getCode(), readBody(response.getEntity()), response);
      }
    } catch (HttpException e) {
      throw new IOException("the response is not valid HTTP: " + e.getMessage(), e);
    } finally {
      connection.close(CloseMode.IMMEDIATE);
    }
  }

  private byte[] readBody(HttpEntity entity) throws IOException {
    if (entity == null) {
      return new byte[0];
    }
    byte[] body = entity.getContent().readNBytes(maxBodyBytes + 1);
    if (body.length > maxBodyBytes) {
      throw new BodyTooLargeException(maxBodyBytes);
    }
    return body;
  }

  // Without keep-alive, a connection that is lost without a reset is detected only by the timeout
  // of
  // a long poll.
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
