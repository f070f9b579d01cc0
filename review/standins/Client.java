package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client on a machine: sends one request on a new connection and reads the answer. */
final class Client {

  private Client() {}

  /** Writes the body of a request; may take as long as the node does. */
  interface BodyWriter {
    void write(OutputStream out) throws IOException;
  }

  static String head(String method, String path, String id, int deadlineMillis, String framing) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: "
        + Mesh.HOST
        + "\r\nX-Request-Id: "
        + id
        + "\r\nX-Deadline-Ms: "
        + deadlineMillis
        + "\r\n"
        + framing
        + "\r\n";
  }

  static Socket connect(InetSocketAddress address, int timeoutMillis) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(address, 1_000);
    socket.setSoTimeout(timeoutMillis);
    return socket;
  }

  /** Sends a request without a body; returns null if the connection ended without an answer. */
  static Http.Message get(
      InetSocketAddress address, String path, String id, int deadlineMillis, int waitMillis)
      throws IOException {
    try (Socket socket = connect(address, waitMillis)) {
      socket.getOutputStream().write(Http.ascii(head("GET", path, id, deadlineMillis, "")));
      InputStream in = Http.buffered(socket.getInputStream());
      Http.Message head = Http.readHead(in);
      return head == null ? null : Http.readBody(in, head, true);
    }
  }
}
