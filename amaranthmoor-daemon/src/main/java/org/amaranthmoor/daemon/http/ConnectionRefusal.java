package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.amaranthmoor.model.TimeSource;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.impl.EnglishReasonPhraseCatalog;
import org.apache.hc.core5.http.io.entity.EntityUtils;

/**
 * Refuses a connection: sends a response before any request is read, and closes the connection.
 *
 * <p>A close with unread bytes resets the connection, which may destroy the response before the
 * client has read it. So what the client sends is read and dropped until it closes, but for a
 * bounded time and size. Not safe for use by several threads.
 */
final class ConnectionRefusal {

  /** Longest time that is spent on a connection, in milliseconds. */
  private static final long MAX_MILLIS = 1_000;

  /** Largest number of bytes that are dropped. */
  private static final long MAX_BYTES = 1L << 20;

  private static final int BUFFER_BYTES = 2 * 1024;

  private final Socket socket;
  private final TimeSource time;

  ConnectionRefusal(Socket socket, TimeSource time) {
    this.socket = socket;
    this.time = time;
  }

  /**
   * Sends the response and drops what the client sends. The caller closes the socket.
   *
   * @param response the response
   * @throws IOException if the client does not read the response in time
   */
  void send(ClassicHttpResponse response) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(render(response));
    socket.shutdownOutput();
    drain(socket.getInputStream());
  }

  private void drain(InputStream in) throws IOException {
    long startNanos = time.nanos();
    byte[] buffer = new byte[BUFFER_BYTES];
    long dropped = 0;
    int count = 0;
    while (count >= 0 && dropped < MAX_BYTES) {
      long leftMillis = MAX_MILLIS - TimeUnit.NANOSECONDS.toMillis(time.nanos() - startNanos);
      if (leftMillis <= 0) {
        return;
      }
      socket.setSoTimeout((int) leftMillis);
      count = in.read(buffer);
      dropped += Math.max(0, count);
    }
  }

  private static byte[] render(ClassicHttpResponse response) throws IOException {
    byte[] body =
        response.getEntity() == null ? new byte[0] : EntityUtils.toByteArray(response.getEntity());
    StringBuilder head = new StringBuilder("HTTP/1.1 ").append(response.getCode()).append(' ');
    head.append(EnglishReasonPhraseCatalog.INSTANCE.getReason(response.getCode(), null));
    for (Header header : response.getHeaders()) {
      append(head, header.getName(), header.getValue());
    }
    if (response.getEntity() != null && response.getEntity().getContentType() != null) {
      append(head, "Content-Type", response.getEntity().getContentType());
    }
    append(head, "Content-Length", Integer.toString(body.length));
    append(head, "Connection", "close");
    byte[] headBytes = head.append("\r\n\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[headBytes.length + body.length];
    System.arraycopy(headBytes, 0, all, 0, headBytes.length);
    System.arraycopy(body, 0, all, headBytes.length, body.length);
    return all;
  }

  private static void append(StringBuilder head, String name, String value) {
    head.append("\r\n").append(name).append(": ").append(value);
  }
}
