package org.amaranthmoor.daemon.exchange;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * A body that tells once whether it was read to its end or closed before.
 *
 * <p>Used by one thread.
 */
public final class EndNotifyingBody extends FilterInputStream {

  private final Runnable onEnd;
  private final Runnable onEarlyClose;
  private boolean notified;

  /**
   * Creates a watched body.
   *
   * @param body the body
   * @param onEnd told when the end is reached
   * @param onEarlyClose told when the body is closed before its end
   */
  public EndNotifyingBody(InputStream body, Runnable onEnd, Runnable onEarlyClose) {
    super(body);
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
    if (count < 0) {
      notifyOnce(onEnd);
    }
    return count;
  }

  @Override
  public void close() throws IOException {
    notifyOnce(onEarlyClose);
    in.close();
  }

  private void notifyOnce(Runnable action) {
    if (!notified) {
      notified = true;
      action.run();
    }
  }
}
