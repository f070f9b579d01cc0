package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.support.ExpectSupport;
import org.apache.hc.core5.http.support.Expectation;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * Serves HTTP/1.1 with one virtual thread per connection.
 *
 * <p>If a handler throws after the head of a response was sent, the connection is closed, so that
 * no client accepts a truncated response as complete. Safe for use by several threads.
 */
public final class HttpListener implements AutoCloseable {

  /** Attribute of a request's context that contains its connection. */
  public static final String CONNECTION_ATTRIBUTE = "amaranthmoor.connection";

  private static final Logger LOGGER = System.getLogger(HttpListener.class.getName());
  private static final int ACCEPT_BACKLOG = 512;
  private static final int CONTINUE_STATUS = 100;
  private static final Timeout IDLE_TIMEOUT = Timeout.ofMinutes(2);
  private static final Http1Config CONFIG =
      Http1Config.custom().setMaxHeaderCount(128).setMaxLineLength(16_384).build();

  /**
   * Maximum time to wait until the port is closed: less than a planned stop reserves for closing.
   */
  private static final long CLOSE_TIMEOUT_MILLIS = 400;

  private final ServerSocket serverSocket;
  private final Thread acceptor;
  private final HttpService service;
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  /**
   * Opens the port and starts to accept connections.
   *
   * @param address the address to listen on
   * @param handler handles requests, each on its connection's thread
   * @throws IOException if the port cannot be opened
   */
  public HttpListener(InetSocketAddress address, HttpServerRequestHandler handler)
      throws IOException {
    this(open(address), handler);
  }

  /**
   * Starts to accept connections on a port that is open already.
   *
   * @param serverSocket the port, as {@link #open} returns it
   * @param handler handles requests, each on its connection's thread
   */
  public HttpListener(ServerSocket serverSocket, HttpServerRequestHandler handler) {
    this.service =
        new HttpService(HttpProcessors.server("amaranthmoor"), sendContinueIfExpected(handler));
    this.serverSocket = serverSocket;
    this.acceptor =
        Thread.ofPlatform()
            .name("http-accept-" + serverSocket.getLocalPort())
            .daemon()
            .start(this::acceptConnections);
  }

  /**
   * Opens a port. Until a listener accepts them, connections wait.
   *
   * @param address the address to listen on
   * @return the port
   * @throws IOException if the port cannot be opened
   */
  public static ServerSocket open(InetSocketAddress address) throws IOException {
    ServerSocket serverSocket = new ServerSocket();
    serverSocket.setReuseAddress(true);
    serverSocket.bind(address, ACCEPT_BACKLOG);
    return serverSocket;
  }

  // Sends "100 Continue" to a client that waits for it before it sends the body. The interim
  // response is flushed explicitly, because the library would send it with the final one otherwise.
  private static HttpServerRequestHandler sendContinueIfExpected(HttpServerRequestHandler handler) {
    return (request, trigger, context) -> {
      boolean expectsContinue =
          ExpectSupport.parse(request, request.getEntity()) == Expectation.CONTINUE;
      if (expectsContinue
          && context.getAttribute(CONNECTION_ATTRIBUTE)
              instanceof DefaultBHttpServerConnection open) {
        trigger.sendInformation(new BasicClassicHttpResponse(CONTINUE_STATUS));
        open.flush();
      }
      handler.handle(request, trigger, context);
    };
  }

  /** {@return the port on which it listens} */
  public int port() {
    return serverSocket.getLocalPort();
  }

  /**
   * Returns the number of connections that must not be closed if no request is to be lost.
   *
   * @return the number of connections on which a request has been received and its response not
   *     been sent, or on which bytes wait to be read
   */
  public int busyConnections() {
    return (int) connections.stream().filter(ServerConnection::isBusy).count();
  }

  private void acceptConnections() {
    while (!closed) {
      try {
        Socket socket = serverSocket.accept();
        if (closed) {
          socket.close();
        } else {
          executor.execute(() -> serve(socket));
        }
      } catch (IOException e) {
        if (!closed) {
          pauseAfterFailedAccept();
        }
      }
    }
  }

  // Gives the process time to free file descriptors if it has run out of them.
  private static void pauseAfterFailedAccept() {
    try {
      Thread.sleep(10);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // A thread that is blocked in accept keeps the port open until it is scheduled again.
  private void awaitAcceptor() {
    try {
      if (!acceptor.join(Duration.ofMillis(CLOSE_TIMEOUT_MILLIS))) {
        LOGGER.log(Level.WARNING, () -> "event=port-not-closed port=" + port());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void serve(Socket socket) {
    ServerConnection connection = new ServerConnection(CONFIG);
    connections.add(connection);
    try {
      socket.setTcpNoDelay(true);
      connection.bind(socket);
      connection.setSocketTimeout(IDLE_TIMEOUT);
      while (!closed && connection.isOpen()) {
        HttpCoreContext context = HttpCoreContext.create();
        context.setAttribute(CONNECTION_ATTRIBUTE, connection);
        service.handleRequest(connection, context);
        connection.onExchangeEnd();
      }
    } catch (ConnectionClosedException | SocketException | java.net.SocketTimeoutException e) {
      // The client closed the connection or was idle for too long.
    } catch (IOException | HttpException e) {
      LOGGER.log(Level.DEBUG, () -> "event=connection-broken error=\"" + e + '"');
      connection.close(CloseMode.IMMEDIATE);
    } catch (RuntimeException e) {
      LOGGER.log(Level.WARNING, () -> "event=handler-failed error=\"" + e + '"', e);
      connection.close(CloseMode.IMMEDIATE);
    } finally {
      connection.close(CloseMode.GRACEFUL);
      connection.onExchangeEnd();
      connections.remove(connection);
    }
  }

  /**
   * Stops accepting and closes all connections at once. Once it has returned, new connections are
   * refused.
   */
  @Override
  public void close() {
    closed = true;
    try {
      serverSocket.close();
    } catch (IOException e) {
      // The port is closed in any case.
    }
    awaitAcceptor();
    connections.forEach(connection -> connection.close(CloseMode.IMMEDIATE));
    executor.shutdownNow();
  }
}
