package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Reserves ports for nodes whose settings name their ports, such as the nodes of a deployment on
 * one machine.
 *
 * <p>A port that is drawn and released could be taken by another process before the node binds it.
 * A reserved port stays bound, without listening: the system assigns it to no other socket, while
 * the listeners of a node, which allow the reuse of addresses, can bind it at any time and again
 * after a restart.
 *
 * <p>Invariant: no two reservations that are open hold the same port. Safe for use by several
 * threads.
 */
public final class ReservedPorts implements AutoCloseable {

  private static final int MAX_ATTEMPTS = 100;

  private final List<Socket> sockets = new ArrayList<>();

  /** Creates a reservation that holds no ports. */
  public ReservedPorts() {}

  /**
   * Reserves a further port, on all addresses of this machine, until {@link #close}.
   *
   * @return the port
   * @throws IOException if no port is free
   */
  public synchronized int reserve() throws IOException {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      Socket socket = new Socket();
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(0));
      if (isFreeForDatagrams(socket.getLocalPort())) {
        sockets.add(socket);
        return socket.getLocalPort();
      }
      socket.close();
    }
    throw new IOException("no port was free for TCP and UDP in " + MAX_ATTEMPTS + " attempts");
  }

  private static boolean isFreeForDatagrams(int port) {
    try (DatagramSocket socket = new DatagramSocket(port)) {
      return socket.isBound();
    } catch (IOException e) {
      // Another process uses the port, so the caller tries the next one.
      return false;
    }
  }

  @Override
  public synchronized void close() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    sockets.clear();
  }
}
