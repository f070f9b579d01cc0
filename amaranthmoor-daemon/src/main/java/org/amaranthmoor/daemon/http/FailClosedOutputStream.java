package org.amaranthmoor.daemon.http;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Optional;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.io.ModalCloseable;

/**
 * The stream of a body that is sent, which ends the body only if all of it was written.
 *
 * <p>HttpCore closes the stream that it writes to in every case, which adds the last chunk of a
 * chunked body. Invariant: a peer never takes a body for whole whose source has failed or has ended
 * before its stated length, also if the connection cannot be closed. Not safe for use by several
 * threads.
 */
final class FailClosedOutputStream extends FilterOutputStream {

  private final long length;
  private final ModalCloseable connection;
  private final Optional<Socket> socket;
  private long written;
  private boolean whole;
  private boolean closed;

  /**
   * Wraps the stream of a body.
   *
   * @param out the stream that frames the body
   * @param length length of the body in bytes, or a negative value of {@link ContentLengthStrategy}
   * @param connection the connection, which is reset if the body is not whole
   * @param socket the socket of the connection, empty if the connection is not bound
   */
  FailClosedOutputStream(
      OutputStream out, long length, ModalCloseable connection, Optional<Socket> socket) {
    super(out);
    this.length = length;
    this.connection = connection;
    this.socket = socket;
  }

  /**
   * Records that the source of the body has ended well.
   *
   * @throws IOException if the body has a length and fewer bytes were written
   */
  void markWhole() throws IOException {
    if (length >= 0 && written < length) {
      throw new IOException(
          "the source of a body of " + length + " bytes ended after " + written + " bytes");
    }
    whole = true;
  }

  @Override
  public void write(int value) throws IOException {
    beforeWrite();
    out.write(value);
    written++;
  }

  @Override
  public void write(byte[] bytes, int offset, int count) throws IOException {
    beforeWrite();
    out.write(bytes, offset, count);
    written += count;
  }

  private void beforeWrite() throws IOException {
    if (written == 0) {
      resetOnClose(true);
    }
  }

  // The end of the connection is the end of a body without a length, so any other end than that of
  // a whole body is a reset, also if this process ends.
  private void resetOnClose(boolean reset) throws IOException {
    if (length == ContentLengthStrategy.UNDEFINED && socket.isPresent()) {
      socket.get().setSoLinger(reset, 0);
    }
  }

  @Override
  public void close() throws IOException {
    if (!whole) {
      connection.close(CloseMode.IMMEDIATE);
      return;
    }
    if (!closed) {
      closed = true;
      out.close();
      resetOnClose(false);
    }
  }
}
