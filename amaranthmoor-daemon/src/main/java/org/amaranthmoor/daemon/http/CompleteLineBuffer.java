package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.io.HttpTransportMetrics;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Reports the end of the connection within a sequence of lines as a failure.
 *
 * <p>HttpCore treats the end of the connection like the empty line that ends a head or the trailers
 * of a chunked body, so a message that was cut off there would appear complete, without the header
 * fields that are missing.
 *
 * <p>Not safe for use by several threads.
 */
final class CompleteLineBuffer implements SessionInputBuffer {

  private final SessionInputBuffer buffer;
  private boolean endAllowed;

  /**
   * Creates a buffer.
   *
   * @param buffer the buffer of the connection
   * @param endAllowed whether the connection may end before the first line
   */
  CompleteLineBuffer(SessionInputBuffer buffer, boolean endAllowed) {
    this.buffer = buffer;
    this.endAllowed = endAllowed;
  }

  @Override
  public int readLine(CharArrayBuffer line, InputStream in) throws IOException {
    int count = buffer.readLine(line, in);
    if (count < 0 && !endAllowed) {
      throw new ConnectionClosedException("the connection was closed within a message");
    }
    endAllowed = false;
    return count;
  }

  @Override
  public HttpTransportMetrics getMetrics() {
    return buffer.getMetrics();
  }

  @Override
  public int length() {
    return buffer.length();
  }

  @Override
  public int capacity() {
    return buffer.capacity();
  }

  @Override
  public int available() {
    return buffer.available();
  }

  @Override
  public int read(byte[] bytes, int offset, int length, InputStream in) throws IOException {
    return buffer.read(bytes, offset, length, in);
  }

  @Override
  public int read(byte[] bytes, InputStream in) throws IOException {
    return buffer.read(bytes, in);
  }

  @Override
  public int read(InputStream in) throws IOException {
    return buffer.read(in);
  }
}
