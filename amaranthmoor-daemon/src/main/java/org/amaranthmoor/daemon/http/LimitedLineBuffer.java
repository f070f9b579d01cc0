package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.util.function.IntConsumer;
import org.amaranthmoor.daemon.http.RefusedRequestException.Reason;
import org.apache.hc.core5.http.io.HttpTransportMetrics;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Reads the lines of a request within its limits.
 *
 * <p>HttpCore limits the length and the number of lines, whose product is far more than a head may
 * have in all, and keeps the longest line as long as the connection lasts. Invariant: no byte of a
 * line is kept that the {@link RequestReader} has not accepted. Not safe for use by several
 * threads.
 */
final class LimitedLineBuffer implements SessionInputBuffer {

  /**
   * Largest number of bytes that are looked at for the end of a chunk and the size of the next one:
   * more than a size and a short extension.
   */
  private static final int MAX_AHEAD_BYTES = 64;

  private final SessionInputBuffer buffer;
  private final RequestReader reader;
  private final boolean head;
  private final IntConsumer setTimeoutMillis;
  // Bytes that were taken from the buffer by hasChunk, and are read before those in it.
  private final byte[] ahead;
  private int aheadStart;
  private int aheadEnd;

  /**
   * Creates a buffer.
   *
   * @param buffer the buffer of the connection
   * @param reader accepts what is read
   * @param head whether the lines are those of a head, which must arrive in time; otherwise they
   *     surround the parts of a body
   * @param setTimeoutMillis sets the time limit of the next read, in milliseconds
   */
  LimitedLineBuffer(
      SessionInputBuffer buffer, RequestReader reader, boolean head, IntConsumer setTimeoutMillis) {
    this.buffer = buffer;
    this.reader = reader;
    this.head = head;
    this.setTimeoutMillis = setTimeoutMillis;
    this.ahead = new byte[head ? 0 : MAX_AHEAD_BYTES];
  }

  /**
   * Returns whether the line end of a chunk, the whole size line of the next one, and a byte of it
   * can be read without waiting for the client. Called at the end of a chunk only.
   *
   * @param in the stream that the buffer reads from
   * @return false also for the last chunk, whose trailers may not have arrived
   */
  boolean hasChunk(InputStream in) throws IOException {
    if (aheadLength() == 0) {
      aheadStart = 0;
      aheadEnd = 0;
    }
    int lineEnds = 0;
    int sizeStart = aheadStart;
    int index = aheadStart;
    while (lineEnds < 2) {
      if (index == aheadEnd && !lookAhead(in)) {
        return false;
      }
      if (ahead[index] == '\n') {
        lineEnds++;
        sizeStart = lineEnds == 1 ? index + 1 : sizeStart;
      }
      index++;
    }
    return ahead[sizeStart] != '0' && buffer.length() > 0;
  }

  // Takes no byte after the size line, which may belong to the next request.
  private boolean lookAhead(InputStream in) throws IOException {
    if (aheadEnd == ahead.length || buffer.length() == 0) {
      return false;
    }
    ahead[aheadEnd++] = (byte) buffer.read(in);
    return true;
  }

  private int aheadLength() {
    return aheadEnd - aheadStart;
  }

  @Override
  public int readLine(CharArrayBuffer line, InputStream in) throws IOException {
    int start = line.length();
    reader.onLine();
    int next = readByte(in);
    if (next < 0) {
      return -1;
    }
    while (next >= 0 && next != '\n') {
      line.append((char) next);
      next = readByte(in);
    }
    int length = line.length();
    if (next == '\n' && length > start && line.charAt(length - 1) == '\r') {
      line.setLength(length - 1);
    }
    return line.length() - start;
  }

  private int readByte(InputStream in) throws IOException {
    boolean buffered = length() > 0;
    int next = head && !buffered ? readInTime(in) : readAny(in);
    if (next < 0) {
      return next;
    }
    if (!buffered) {
      reader.onProgress(1 + buffer.length());
    }
    if (head) {
      if (next != '\r' && next != '\n') {
        reader.onHeadBegin();
      }
      reader.onHeadBytes(1);
    } else {
      reader.onFramingBytes(1);
    }
    return next;
  }

  private int readAny(InputStream in) throws IOException {
    return aheadLength() > 0 ? ahead[aheadStart++] & 0xFF : buffer.read(in);
  }

  private int readInTime(InputStream in) throws IOException {
    setTimeoutMillis.accept((int) Math.min(Integer.MAX_VALUE, reader.headMillisLeft()));
    try {
      return buffer.read(in);
    } catch (SocketTimeoutException e) {
      if (!reader.isHeadBegun()) {
        throw e;
      }
      throw new RefusedRequestException(Reason.TOO_SLOW);
    }
  }

  @Override
  public HttpTransportMetrics getMetrics() {
    return buffer.getMetrics();
  }

  @Override
  public int length() {
    return aheadLength() + buffer.length();
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
    reader.restartLines();
    if (aheadLength() == 0) {
      return buffer.read(bytes, offset, length, in);
    }
    int count = Math.min(length, aheadLength());
    System.arraycopy(ahead, aheadStart, bytes, offset, count);
    aheadStart += count;
    return count;
  }

  @Override
  public int read(byte[] bytes, InputStream in) throws IOException {
    return read(bytes, 0, bytes.length, in);
  }

  @Override
  public int read(InputStream in) throws IOException {
    reader.restartLines();
    return readAny(in);
  }
}
