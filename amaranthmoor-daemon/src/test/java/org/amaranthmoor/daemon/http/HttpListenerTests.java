package org.amaranthmoor.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HttpListenerTests {

  /** Guards against a planned stop that closes a connection whose request has been read. */
  @Nested
  class BusyConnections {

    private static final int TIMEOUT_MILLIS = 10_000;
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

    private final CountDownLatch begun = new CountDownLatch(1);
    private final CountDownLatch mayEnd = new CountDownLatch(1);
    private HttpListener listener;

    @BeforeEach
    void open() throws IOException {
      listener =
          new HttpListener(
              new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
              (request, trigger, context) -> {
                begun.countDown();
                awaitUninterrupted(mayEnd);
                trigger.submitResponse(new BasicClassicHttpResponse(204));
              });
    }

    @AfterEach
    void close() {
      listener.close();
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
      try {
        latch.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    @Test
    void aConnectionIsBusyFromItsRequestToItsResponse() throws Exception {
      try (Socket client = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
        client.setSoTimeout(TIMEOUT_MILLIS);
        assertEquals(0, listener.busyConnections());

        client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
        begun.await();
        assertEquals(1, listener.busyConnections());

        mayEnd.countDown();
        assertEquals('H', client.getInputStream().read());
        while (listener.busyConnections() > 0) {
          Thread.onSpinWait();
        }
      }
    }
  }

  /**
   * The accepting thread is scheduled late. While it is blocked in accept it keeps the port open,
   * so that clients could still connect if close() did not wait for it.
   */
  @Nested
  class WhenTheProcessorIsBusy {

    private static final int ROUNDS = 100;

    /** Time within which the accepting thread blocks in accept. */
    private static final long ACCEPT_START_MILLIS = 2;

    private final AtomicBoolean stopped = new AtomicBoolean();

    @BeforeEach
    void occupyProcessors() {
      for (int i = 0; i < 2 * Runtime.getRuntime().availableProcessors(); i++) {
        Thread.ofPlatform()
            .daemon()
            .start(
                () -> {
                  while (!stopped.get()) {
                    Thread.onSpinWait();
                  }
                });
      }
    }

    @AfterEach
    void releaseProcessors() {
      stopped.set(true);
    }

    @Test
    void refusesConnectionsOnceClosed() throws Exception {
      InetAddress host = InetAddress.getLoopbackAddress();
      for (int i = 0; i < ROUNDS; i++) {
        HttpListener listener =
            new HttpListener(new InetSocketAddress(host, 0), (request, trigger, context) -> {});
        int port = listener.port();
        Thread.sleep(ACCEPT_START_MILLIS);

        listener.close();

        assertThrows(ConnectException.class, () -> new Socket(host, port).close());
      }
    }
  }
}
