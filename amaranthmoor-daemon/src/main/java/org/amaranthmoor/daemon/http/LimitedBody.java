package org.amaranthmoor.daemon.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import org.amaranthmoor.daemon.http.RefusedRequestException.Reason;

/**
 * The body of a request, read within its limits.
 *
 * <p>A body in small chunks is read in larger pieces as far as they have arrived, because each
 * piece that is passed on costs more than its bytes. Not safe for use by several threads.
 */
final class LimitedBody extends FilterInputStream {

  /** Size of a piece to which no further chunk is added, in bytes. */
  private static final int MAX_JOINED_BYTES = 1_024;

  private static final int DRAIN_BUFFER_BYTES = 2 * 1024;

  private final RequestReader reader;
  private final Arrived arrived;
  private boolean failed;
  private boolean closed;

  /** What has arrived of a body. */
  interface Arrived {

    /** {@return whether a part of a further chunk can be read without waiting for the client} */
    boolean hasChunk() throws IOException;

    /** Sends the response as far as it has been written, for which the client may wait. */
    void flushResponse() throws IOException;
  }

  /**
   * Wraps a body.
   *
   * @param body the body
   * @param reader accepts what is read
   * @param arrived what has arrived of it
   */
  LimitedBody(InputStream body, RequestReader reader, Arrived arrived) {
    super(body);
    this.reader = reader;
    this.arrived = arrived;
  }

  @Override
  public int read() throws IOException {
    byte[] one = new byte[1];
    return read(one, 0, 1) < 0 ? -1 : one[0] & 0xFF;
  }

  @Override
  public int read(byte[] bytes, int offset, int length) throws IOException {
    int count = readPart(bytes, offset, length);
    int total = Math.max(0, count);
    while (count > 0 && total < Math.min(length, MAX_JOINED_BYTES) && arrived.hasChunk()) {
      count = readPart(bytes, offset + total, length - total);
      total += Math.max(0, count);
    }
    return total == 0 ? count : total;
  }

  private int readPart(byte[] bytes, int offset, int length) throws IOException {
    int count;
    try {
      count = in.read(bytes, offset, length);
      if (count > 0) {
        reader.onBodyBytes(count);
      }
    } catch (SocketTimeoutException e) {
      failed = true;
      if (reader.isServed() || reader.hasResponse()) {
        throw e;
      }
      throw new RefusedRequestException(Reason.TOO_SLOW);
    } catch (IOException e) {
      failed = true;
      throw e;
    }
    return count;
  }

  /** Reads the rest within the limits, so that the next request can be read after it. */
  @Override
  public void close() throws IOException {
    if (closed) {
      return;
    }
    closed = true;
    if (!failed) {
      arrived.flushResponse();
      byte[] buffer = new byte[DRAIN_BUFFER_BYTES];
      int count = 0;
      while (count >= 0) {
        count = read(buffer, 0, buffer.length);
      }
    }
    in.close();
  }
}
