package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from sockets, and tells a complete message from one that was cut off. */
final class Http {

  private static final int MAX_LINE_BYTES = 64 * 1024;

  private Http() {}

  /**
   * A message.
   *
   * @param firstLine the request line or the status line
   * @param headers the header lines
   * @param body the body, as far as it arrived
   * @param complete whether the framing says that all of it arrived
   */
  record Message(String firstLine, List<String> headers, byte[] body, boolean complete) {

    String header(String name) {
      for (String header : headers) {
        if (header.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
          return header.substring(name.length() + 1).trim();
        }
      }
      return "";
    }

    int status() {
      return Integer.parseInt(firstLine.split(" ", 3)[1]);
    }

    String path() {
      return firstLine.split(" ", 3)[1];
    }

    boolean closes() {
      return header("Connection").equalsIgnoreCase("close");
    }
  }

  static InputStream buffered(InputStream in) {
    return new BufferedInputStream(in, 64 * 1024);
  }

  /** Reads the head of a message; the body is empty. Returns null at the end of the connection. */
  static Message readHead(InputStream in) throws IOException {
    String firstLine = readLine(in);
    if (firstLine == null) {
      return null;
    }
    List<String> headers = new ArrayList<>();
    while (true) {
      String header = readLine(in);
      if (header == null) {
        throw new EOFException("the connection ended within a head");
      }
      if (header.isEmpty()) {
        return new Message(firstLine, headers, new byte[0], false);
      }
      headers.add(header);
    }
  }

  /**
   * Reads the body of a message.
   *
   * @param response whether a body without a length ends with the connection; if not, there is none
   */
  static Message readBody(InputStream in, Message head, boolean response) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete;
    try {
      complete = copyBody(in, head, response, body);
    } catch (IOException e) {
      complete = false;
    }
    return new Message(head.firstLine(), head.headers(), body.toByteArray(), complete);
  }

  private static boolean copyBody(
      InputStream in, Message head, boolean response, OutputStream body) throws IOException {
    if (head.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
      while (true) {
        String size = readLine(in);
        if (size == null) {
          return false;
        }
        int length = Integer.parseInt(size.replaceAll(";.*", "").trim(), 16);
        if (length == 0) {
          String trailer = readLine(in);
          while (trailer != null && !trailer.isEmpty()) {
            trailer = readLine(in);
          }
          return trailer != null;
        }
        if (!copy(in, body, length) || readLine(in) == null) {
          return false;
        }
      }
    }
    String length = head.header("Content-Length");
    if (!length.isEmpty()) {
      return copy(in, body, Long.parseLong(length));
    }
    if (!response) {
      return true;
    }
    in.transferTo(body);
    return true;
  }

  private static boolean copy(InputStream in, OutputStream out, long length) throws IOException {
    byte[] buffer = new byte[32 * 1024];
    long left = length;
    while (left > 0) {
      int count = in.read(buffer, 0, (int) Math.min(buffer.length, left));
      if (count < 0) {
        return false;
      }
      out.write(buffer, 0, count);
      left -= count;
    }
    return true;
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next != '\n') {
      if (next < 0 || line.size() > MAX_LINE_BYTES) {
        throw new EOFException("the connection ended within a line");
      }
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
