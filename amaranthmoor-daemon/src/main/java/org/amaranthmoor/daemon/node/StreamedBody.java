package org.amaranthmoor.daemon.node;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * A body that arrives over a link; closing it early cancels the call.
 *
 * <p>Used by one thread.
 */
final class StreamedBody extends FilterInputStream {

  private final Runnable whenClosedEarly;
  private boolean ended;

  StreamedBody(InputStream body, Runnable whenClosedEarly) {
    super(body);
    this.whenClosedEarly = whenClosedEarly;
  }

  @Override
  public int read() throws IOException {
    byte[] one = new byte[1];
    return read(one, 0, 1) < 0 ? -1 : one[0] & 0xFF;
  }

  @Override
  public int read(byte[] buffer, int offset, int length) throws IOException {
    int count = in.read(buffer, offset, length);
    ended = ended || count < 0;
    return count;
  }

  @Override
  public void close() throws IOException {
    if (!ended) {
      ended = true;
      whenClosedEarly.run();
    }
    in.close();
  }
}
