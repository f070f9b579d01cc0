package org.amaranthmoor.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthmoor.connection.ConnectionAdmission;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.model.TimeSource;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a failure, such as an {@code OutOfMemoryError}, that ends more than the connection
 * on which it occurred, or that leaves that connection open so that its client waits.
 */
class FailingListenerTests {

  private static final int TIMEOUT_MILLIS = 10_000;
  private static final String FAILING_PATH = "/failing";

  private final AtomicBoolean failing = new AtomicBoolean();
  private final AtomicInteger failures = new AtomicInteger();
  private final Queue<Throwable> errors = new ConcurrentLinkedQueue<>();
  private final EventLog log =
      new EventLog(System.getLogger(getClass().getName()), TimeSource.system());
  private HttpListener listener;

  @AfterEach
  void close() {
    listener.close();
  }

  private void failIfRequired() {
    if (failing.getAndSet(false)) {
      failures.incrementAndGet();
      throw new OutOfMemoryError("thrown by a test");
    }
  }

  private void listen(ServerSocket socket) {
    listen(socket, ServerConnection::new, Executors.newVirtualThreadPerTaskExecutor());
  }

  private void listen(
      ServerSocket socket, HttpListener.ConnectionFactory factory, Executor executor) {
    listen(
        socket,
        ListenerSettings.forControl("test", errors::add, TimeSource.system(), log),
        factory,
        executor);
  }

  private void listen(
      ServerSocket socket,
      ListenerSettings settings,
      HttpListener.ConnectionFactory factory,
      Executor executor) {
    listener =
        new HttpListener(
            socket,
            (request, trigger, context) -> {
              if (request.getPath().equals(FAILING_PATH)) {
                throw new OutOfMemoryError("thrown by a test");
              }
              trigger.submitResponse(new BasicClassicHttpResponse(204));
            },
            settings,
            factory,
            executor);
  }

  private static ServerSocket open() throws IOException {
    return HttpListener.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  private Socket connect() throws IOException {
    Socket client = new Socket(InetAddress.getLoopbackAddress(), listener.port());
    client.setSoTimeout(TIMEOUT_MILLIS);
    return client;
  }

  private static void send(Socket client, String path) throws IOException {
    String request = "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
    client.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
  }

  private void assertServes() throws IOException {
    try (Socket client = connect()) {
      send(client, "/");
      assertEquals('H', client.getInputStream().read());
    }
  }

  private static void assertEndsWithoutResponse(Socket client) throws IOException {
    try {
      assertEquals(-1, client.getInputStream().read());
    } catch (SocketException e) {
      // The connection was reset, which tells the client more.
      assertTrue(e.getMessage().contains("reset"), e.toString());
    }
  }

  /** The node refuses new calls for a moment if it is short of memory. */
  private void assertErrorWasReported() {
    assertEquals(1, errors.size());
    assertInstanceOf(OutOfMemoryError.class, errors.peek());
  }

  private void assertNoConnectionIsLeft() {
    awaitCounts(new ConnectionTable.Counts(0, 0, 0));
  }

  private void awaitCounts(ConnectionTable.Counts expected) {
    while (!listener.connectionCounts().equals(expected)) {
      Thread.onSpinWait();
    }
  }

  @Test
  void acceptsConnectionsAfterAnErrorInAccepting() throws Exception {
    ServerSocket socket =
        new ServerSocket() {
          @Override
          public Socket accept() throws IOException {
            Socket accepted = super.accept();
            try {
              failIfRequired();
            } catch (OutOfMemoryError e) {
              accepted.close();
              throw e;
            }
            return accepted;
          }
        };
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    listen(socket);
    failing.set(true);

    try (Socket client = connect()) {
      assertEndsWithoutResponse(client);
    }

    assertEquals(1, failures.get());
    assertServes();
    assertErrorWasReported();
    assertEquals(1, listener.acceptFailures());
  }

  @Test
  void closesAConnectionForWhichNoThreadCanBeStarted() throws Exception {
    Executor executor = Executors.newVirtualThreadPerTaskExecutor();
    listen(
        open(),
        ServerConnection::new,
        task -> {
          failIfRequired();
          executor.execute(task);
        });
    failing.set(true);

    try (Socket client = connect()) {
      assertEndsWithoutResponse(client);
    }

    assertServes();
    assertErrorWasReported();
    assertNoConnectionIsLeft();
  }

  @Test
  void keepsNoPlaceForAConnectionIfAnIdleOneCannotMakeRoom() throws Exception {
    ServerSocket socket =
        new ServerSocket() {
          @Override
          public Socket accept() throws IOException {
            Socket accepted =
                new Socket() {
                  @Override
                  public void shutdownInput() throws IOException {
                    failIfRequired();
                    super.shutdownInput();
                  }
                };
            implAccept(accepted);
            return accepted;
          }
        };
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    ListenerSettings single =
        new ListenerSettings(
            "single",
            new ConnectionAdmission(1, 1),
            ListenerSettings::unavailable,
            errors::add,
            TimeSource.system(),
            log);
    listen(socket, single, ServerConnection::new, Executors.newVirtualThreadPerTaskExecutor());
    try (Socket idle = connect()) {
      send(idle, "/");
      assertEquals('H', idle.getInputStream().read());
      awaitCounts(new ConnectionTable.Counts(1, 0, 0));
      failing.set(true);

      try (Socket client = connect()) {
        assertEndsWithoutResponse(client);
      }

      assertEquals(new ConnectionTable.Counts(0, 0, 0), listener.connectionCounts());
    }
    assertServes();
  }

  @Test
  void closesAConnectionWhoseBuffersCannotBeAllocated() throws Exception {
    listen(
        open(),
        config -> {
          failIfRequired();
          return new ServerConnection(config);
        },
        Executors.newVirtualThreadPerTaskExecutor());
    failing.set(true);

    try (Socket client = connect()) {
      assertEndsWithoutResponse(client);
    }

    assertServes();
    assertErrorWasReported();
    assertNoConnectionIsLeft();
  }

  @Test
  void closesAConnectionWhoseHandlerFailsWithAnError() throws Exception {
    listen(open());

    try (Socket client = connect()) {
      send(client, FAILING_PATH);
      assertEndsWithoutResponse(client);
    }

    assertServes();
    assertErrorWasReported();
    assertNoConnectionIsLeft();
    assertEquals(0, listener.busyConnections());
  }
}
