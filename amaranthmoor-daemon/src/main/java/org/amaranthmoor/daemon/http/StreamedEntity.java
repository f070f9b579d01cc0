package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.HttpEntityWrapper;
import org.apache.hc.core5.http.io.entity.InputStreamEntity;

/**
 * The entity of a message whose body is read from a stream while it is sent.
 *
 * <p>The body is written in pieces that are larger than the buffer of a connection, so that they
 * bypass it: a connection has a small buffer, because it needs it also while it is idle. Invariant:
 * a body that is shorter than its stated length fails. Not safe for use by several threads.
 */
public final class StreamedEntity extends HttpEntityWrapper {

  /** Size of each buffer of a connection, in bytes. */
  static final int CONNECTION_BUFFER_BYTES = 2 * 1024;

  private static final int MAX_PIECE_BYTES = 16 * 1024;

  /**
   * Creates an entity.
   *
   * @param body the body
   * @param length length of the body in bytes, or -1 if it ends with the stream
   */
  public StreamedEntity(InputStream body, long length) {
    super(new InputStreamEntity(body, length, (ContentType) null));
  }

  @Override
  public void writeTo(OutputStream out) throws IOException {
    long length = getContentLength();
    try (InputStream body = getContent()) {
      if (length < 0) {
        writeUntilEnd(body, out);
      } else {
        write(body, length, out);
      }
    }
  }

  private static void writeUntilEnd(InputStream body, OutputStream out) throws IOException {
    byte[] piece = new byte[MAX_PIECE_BYTES];
    for (int count = body.read(piece); count >= 0; count = body.read(piece)) {
      out.write(piece, 0, count);
    }
  }

  private static void write(InputStream body, long length, OutputStream out) throws IOException {
    byte[] piece = new byte[(int) Math.min(length, MAX_PIECE_BYTES)];
    long left = length;
    while (left > 0) {
      int count = body.read(piece, 0, (int) Math.min(left, piece.length));
      if (count < 0) {
        throw new ConnectionClosedException("the body ended " + left + " bytes early");
      }
      out.write(piece, 0, count);
      left -= count;
    }
  }
}
