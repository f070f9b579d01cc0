package org.amaranthmoor.daemon.http;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HttpListenerTests {

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
