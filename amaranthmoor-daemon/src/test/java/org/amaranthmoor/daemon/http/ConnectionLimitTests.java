package org.amaranthmoor.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthmoor.connection.ConnectionAdmission;
import org.amaranthmoor.daemon.log.ErrorListener;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.metrics.NodeMetrics;
import org.amaranthmoor.model.TimeSource;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.util.Timeout;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against connections without a bound, which take the heap of the whole node. */
class ConnectionLimitTests {

  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int CAPACITY = 3;
  private static final int MAX_REFUSALS = 100;

  /** Age at which a connection without a request is idle, in nanoseconds. */
  private static final long UNUSED_NANOS = 10_000_000_000L;

  private static final String BLOCKED_PATH = "/blocked";
  private static final String SERVED = "HTTP/1.1 204";

  private final SetTime time = new SetTime();
  private final EventLog log = new EventLog(System.getLogger(getClass().getName()), time);
  private final CountDownLatch mayEnd = new CountDownLatch(1);
  private final AtomicInteger handled = new AtomicInteger();
  private final NodeMetrics metrics = new NodeMetrics();
  private final List<Socket> clients = new ArrayList<>();
  private final HttpListener listener = listen("callers", MAX_REFUSALS);

  /** Keeps the time limits from depending on the speed of the machine. */
  private static final class SetTime implements TimeSource {

    private final AtomicLong nanos = new AtomicLong();

    @Override
    public long nanos() {
      return nanos.get();
    }

    @Override
    public long wallMillis() {
      return 0;
    }
  }

  /** Pauses after the first bytes of a request have been read. */
  private static final class PausedConnection extends ServerConnection {

    private final CountDownLatch bytesRead;
    private final CountDownLatch mayContinue;

    PausedConnection(Http1Config config, CountDownLatch bytesRead, CountDownLatch mayContinue) {
      super(config);
      this.bytesRead = bytesRead;
      this.mayContinue = mayContinue;
    }

    @Override
    public boolean isDataAvailable(Timeout timeout) throws IOException {
      boolean available = super.isDataAvailable(timeout);
      bytesRead.countDown();
      awaitUninterrupted(mayContinue);
      return available;
    }
  }

  private HttpListener listen(String name, int maxRefusals) {
    return listen(name, new ConnectionAdmission(CAPACITY, maxRefusals), ServerConnection::new);
  }

  private HttpListener listen(
      String name, ConnectionAdmission admission, HttpListener.ConnectionFactory factory) {
    try {
      return new HttpListener(
              HttpListener.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)),
              (request, trigger, context) -> {
                handled.incrementAndGet();
                if (request.getPath().equals(BLOCKED_PATH)) {
                  awaitUninterrupted(mayEnd);
                }
                trigger.submitResponse(new BasicClassicHttpResponse(204));
              },
              new ListenerSettings(
                  name, admission, ListenerSettings::unavailable, ErrorListener.NONE, time, log),
              factory,
              Executors.newVirtualThreadPerTaskExecutor())
          .registerWith(metrics);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private static void awaitUninterrupted(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @AfterEach
  void close() throws IOException {
    mayEnd.countDown();
    for (Socket client : clients) {
      client.close();
    }
    listener.close();
  }

  private Socket connect(HttpListener to) throws IOException {
    Socket client = new Socket(InetAddress.getLoopbackAddress(), to.port());
    client.setSoTimeout(TIMEOUT_MILLIS);
    clients.add(client);
    return client;
  }

  private static void send(Socket client, String path, int bodyBytes) throws IOException {
    String head =
        "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    client.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    client.getOutputStream().write(new byte[bodyBytes]);
  }

  private static String readHead(Socket client) throws IOException {
    InputStream in = client.getInputStream();
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("ended after: " + head);
      }
      head.append((char) next);
    }
    return head.toString();
  }

  private Socket connectAndServe() throws IOException {
    Socket client = connect(listener);
    send(client, "/", 0);
    assertTrue(readHead(client).startsWith(SERVED));
    return client;
  }

  private void connectAndBlock(HttpListener to) throws IOException {
    int before = handled.get();
    send(connect(to), BLOCKED_PATH, 0);
    while (handled.get() == before) {
      Thread.onSpinWait();
    }
  }

  private void awaitCounts(int idle, int active, int refusals) {
    ConnectionTable.Counts expected = new ConnectionTable.Counts(idle, active, refusals);
    while (!listener.connectionCounts().equals(expected)) {
      Thread.onSpinWait();
    }
  }

  private void fill(HttpListener to) throws IOException {
    for (int i = 0; i < CAPACITY; i++) {
      connectAndBlock(to);
    }
  }

  @Test
  void refusesARequestThatWasSentAlreadyWithoutRunningIt() throws Exception {
    fill(listener);

    Socket client = connect(listener);
    send(client, "/", 200_000);
    String response =
        new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);

    assertTrue(response.startsWith("HTTP/1.1 503 Service Unavailable\r\n"), response);
    assertTrue(response.contains("\r\nRetry-After: 1\r\n"), response);
    assertTrue(response.contains("\r\nConnection: close\r\n"), response);
    assertTrue(response.endsWith("\r\n\r\ntoo many connections\n"), response);
    assertEquals(CAPACITY, handled.get());
  }

  @Test
  void closesAConnectionAtOnceWhileEnoughAreBeingRefused() throws Exception {
    try (HttpListener withoutRefusals = listen("other", 0)) {
      fill(withoutRefusals);

      Socket dropped = connect(withoutRefusals);

      assertThrows(IOException.class, () -> readHead(dropped));
      assertTrue(
          metrics
              .render()
              .contains("amaranthmoor_connections_dropped_total{listener=\"other\"} 1"));
    }
  }

  @Test
  void closesTheLongestIdleConnectionForANewOne() throws Exception {
    Socket first = connectAndServe();
    Socket second = connectAndServe();
    connectAndBlock(listener);
    awaitCounts(CAPACITY - 1, 1, 0);

    connectAndServe();

    assertEquals(-1, first.getInputStream().read());
    send(second, "/", 0);
    assertTrue(readHead(second).startsWith(SERVED));
  }

  @Test
  void refusesARequestThatArrivedWhileItsConnectionWasClosedForANewOne() throws Exception {
    CountDownLatch bytesRead = new CountDownLatch(1);
    CountDownLatch mayContinue = new CountDownLatch(1);
    AtomicInteger created = new AtomicInteger();
    HttpListener.ConnectionFactory pausesTheFirst =
        config ->
            created.getAndIncrement() == 0
                ? new PausedConnection(config, bytesRead, mayContinue)
                : new ServerConnection(config);
    try (HttpListener single = listen("single", new ConnectionAdmission(1, 0), pausesTheFirst)) {
      Socket replaced = connect(single);
      send(replaced, "/", 0);
      bytesRead.await();
      time.nanos.set(UNUSED_NANOS);

      Socket added = connect(single);
      send(added, "/", 0);
      assertTrue(readHead(added).startsWith(SERVED));
      mayContinue.countDown();

      assertTrue(readHead(replaced).startsWith("HTTP/1.1 503"));
      assertEquals(1, handled.get());
    }
  }

  @Test
  void servesRequestsThatArriveTogetherOnOneConnection() throws Exception {
    Socket client = connect(listener);
    String request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

    client.getOutputStream().write((request + request).getBytes(StandardCharsets.US_ASCII));

    assertTrue(readHead(client).startsWith(SERVED));
    assertTrue(readHead(client).startsWith(SERVED));
    awaitCounts(1, 0, 0);
  }

  @Test
  void servesOneListenerWhileAnotherIsFull() throws Exception {
    fill(listener);

    try (HttpListener control = listen("control", 0)) {
      Socket client = connect(control);
      send(client, "/", 0);
      assertTrue(readHead(client).startsWith(SERVED));
    }
  }

  @Test
  void countsNothingAfterMoreConnectionsThanItAccepts() throws Exception {
    fill(listener);
    for (int i = 0; i < 5 * CAPACITY; i++) {
      try (Socket client = connect(listener)) {
        send(client, "/", 1);
        client.getInputStream().readAllBytes();
      }
    }

    mayEnd.countDown();
    for (Socket client : clients) {
      client.close();
    }

    awaitCounts(0, 0, 0);
    connectAndServe();
  }
}
