package org.amaranthmoor.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a port that another process takes after it was drawn for a node and before the
 * node binds it.
 */
class ReservedPortsTests {

  private static final int PORTS = 200;

  private final ReservedPorts ports = new ReservedPorts();

  @AfterEach
  void release() throws IOException {
    ports.close();
  }

  private static HttpListener listen(String host, int port) throws IOException {
    return new HttpListener(new InetSocketAddress(host, port), (request, trigger, context) -> {});
  }

  @Test
  void aListenerOpensAReservedPortAndOpensItAgain() throws IOException {
    int port = ports.reserve();

    for (int round = 0; round < 2; round++) {
      try (HttpListener listener = listen("127.0.0.1", port)) {
        assertEquals(port, listener.port());
        new Socket(InetAddress.getLoopbackAddress(), port).close();
      }
    }
  }

  @Test
  void listenersOnSeveralAddressesShareAReservedPort() throws IOException {
    int port = ports.reserve();

    try (HttpListener first = listen("127.0.0.1", port);
        HttpListener second = listen("127.0.0.2", port)) {
      assertEquals(first.port(), second.port());
    }
  }

  @Test
  void noOtherSocketIsAssignedAReservedPort() throws IOException {
    Set<Integer> reserved = new HashSet<>();
    for (int i = 0; i < PORTS; i++) {
      assertTrue(reserved.add(ports.reserve()));
    }
    try (ReservedPorts others = new ReservedPorts()) {
      for (int i = 0; i < PORTS; i++) {
        assertTrue(reserved.add(others.reserve()));
      }
    }
  }

  @Test
  void aSocketThatDoesNotAllowReuseCannotTakeAReservedPort() throws IOException {
    int port = ports.reserve();

    try (ServerSocket socket = new ServerSocket()) {
      socket.setReuseAddress(false);
      assertThrows(
          BindException.class,
          () -> socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
    }
  }
}
