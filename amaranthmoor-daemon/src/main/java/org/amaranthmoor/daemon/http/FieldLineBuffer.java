package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.io.HttpTransportMetrics;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Reads the lines of the head of one response, and rejects a line that is not a field.
 *
 * <p>HttpCore joins folded lines, lets some lines end without a carriage return, and accepts names
 * and values that hold control characters. In a damaged head each of these can hide the field that
 * states the length of the body, so that other bytes would pass for the body.
 *
 * <p>Not safe for use by several threads.
 */
final class FieldLineBuffer implements SessionInputBuffer {

  private final SessionInputBuffer buffer;
  private final int maxLineLength;
  private boolean statusLineRead;
  private boolean endsWithReturn;

  /**
   * Creates a buffer whose next line is a status line.
   *
   * @param buffer the buffer of the connection
   * @param maxLineLength largest length of a line, in bytes
   */
  FieldLineBuffer(SessionInputBuffer buffer, int maxLineLength) {
    this.buffer = buffer;
    this.maxLineLength = maxLineLength;
  }

  @Override
  public int readLine(CharArrayBuffer line, InputStream in) throws IOException {
    int start = line.length();
    int next = buffer.read(in);
    if (next < 0) {
      return -1;
    }
    while (next != '\n') {
      if (next < 0) {
        throw new ConnectionClosedException("the connection was closed within a message");
      }
      if (line.length() - start == maxLineLength) {
        throw new MessageConstraintException("a line of the response's head is too long");
      }
      line.append((char) next);
      next = buffer.read(in);
    }
    removeReturn(line, start);
    if (line.length() > start) {
      if (statusLineRead) {
        checkField(line, start);
      }
      statusLineRead = true;
    }
    return line.length() - start;
  }

  private void removeReturn(CharArrayBuffer line, int start) throws IOException {
    boolean hasReturn = line.length() > start && line.charAt(line.length() - 1) == '\r';
    if (statusLineRead && hasReturn != endsWithReturn) {
      throw new MalformedResponseException("the lines of the response's head end differently");
    }
    endsWithReturn = hasReturn;
    if (hasReturn) {
      line.setLength(line.length() - 1);
    }
  }

  private static void checkField(CharArrayBuffer line, int start) throws IOException {
    int colon = start;
    while (colon < line.length() && HeadCharacters.isTokenCharacter(line.charAt(colon))) {
      colon++;
    }
    if (colon == start || colon == line.length() || line.charAt(colon) != ':') {
      throw new MalformedResponseException("a line of the response's head is not a field");
    }
    for (int i = colon + 1; i < line.length(); i++) {
      if (!HeadCharacters.isTextCharacter(line.charAt(i))) {
        throw new MalformedResponseException(
            "the value of a field of the response has a control character");
      }
    }
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
