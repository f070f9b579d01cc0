package org.amaranthmoor.daemon.http;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.function.IntConsumer;

/**
 * Reports how much of what is written a client has accepted.
 *
 * <p>Not safe for use by several threads.
 */
final class ProgressOutputStream extends FilterOutputStream {

  /** Largest number of bytes that are written before progress is reported. */
  private static final int MAX_PIECE_BYTES = 16 * 1024;

  private final IntConsumer onProgress;

  /**
   * Wraps a stream.
   *
   * @param out the stream
   * @param onProgress receives numbers of bytes that were written
   */
  ProgressOutputStream(OutputStream out, IntConsumer onProgress) {
    super(out);
    this.onProgress = onProgress;
  }

  @Override
  public void write(int value) throws IOException {
    out.write(value);
    onProgress.accept(1);
  }

  @Override
  public void write(byte[] bytes, int offset, int count) throws IOException {
    for (int written = 0; written < count; written += MAX_PIECE_BYTES) {
      int piece = Math.min(MAX_PIECE_BYTES, count - written);
      out.write(bytes, offset + written, piece);
      onProgress.accept(piece);
    }
  }
}
