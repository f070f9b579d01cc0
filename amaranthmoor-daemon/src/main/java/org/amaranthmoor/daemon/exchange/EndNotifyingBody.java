package org.amaranthmoor.daemon.exchange;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * A body stream that runs one of two callbacks once: when its end is reached, or when it is closed
 * or fails before that. A body whose length is known ends with its last byte, as a reader need not
 * ask for more, and one whose source ends before that fails.
 *
 * <p>Not thread-safe; used by one thread at a time.
 */
public final class EndNotifyingBody extends FilterInputStream {

  private final Runnable onEnd;
  private final Runnable onEarlyClose;
  private final boolean lengthKnown;
  private long left;
  private boolean notified;

  /**
   * Wraps a body.
   *
   * @param body the body
   * @param length length of the body in bytes, or negative if it is not known
   * @param onEnd run when the end of the body is reached
   * @param onEarlyClose run when the body is closed before its end, or its source ends before the
   *     stated length
   */
  public EndNotifyingBody(InputStream body, long length, Runnable onEnd, Runnable onEarlyClose) {
    super(body);
    this.lengthKnown = length >= 0;
    this.left = length;
    this.onEnd = onEnd;
    this.onEarlyClose = onEarlyClose;
  }

  @Override
  public int read() throws IOException {
    byte[] one = new byte[1];
    return read(one, 0, 1) < 0 ? -1 : one[0] & 0xFF;
  }

  @Override
  public int read(byte[] buffer, int offset, int length) throws IOException {
    int count = in.read(buffer, offset, length);
    if (count < 0 && lengthKnown && left > 0) {
      notifyOnce(onEarlyClose);
      throw new IOException("the body ended " + left + " bytes before its stated length");
    }
    left -= Math.max(0, count);
    if (count < 0 || (lengthKnown && left <= 0)) {
      notifyOnce(onEnd);
    }
    return count;
  }

  @Override
  public void close() throws IOException {
    try {
      notifyOnce(onEarlyClose);
    } finally {
      in.close();
    }
  }

  private void notifyOnce(Runnable action) {
    if (!notified) {
      notified = true;
      action.run();
    }
  }
}
