package org.amaranthmoor.daemon.exchange;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.model.LoadReport;

/**
 * The response of a target.
 *
 * <p>Used by one thread. A buffered body is held in memory; a streamed one must be read to its end
 * or closed.
 *
 * @param status the HTTP status
 * @param headers headers for the caller, without hop-by-hop headers
 * @param body the body
 * @param load load of the target side at the time of the response, if known
 */
public record CallResponse(
    int status, List<HeaderField> headers, Body body, Optional<LoadReport> load) {

  /** Largest body that is buffered until it is complete, in bytes; a larger one is streamed. */
  public static final int MAX_BUFFERED_BYTES = 64 * 1024;

  /** Abandons an unread streamed body, which releases what it holds. */
  public void close() {
    if (body instanceof Body.Streamed streamed) {
      try {
        streamed.stream().close();
      } catch (IOException e) {
        // The rest is not read.
      }
    }
  }

  /** A response body. */
  public sealed interface Body {
    /**
     * A body that has arrived completely.
     *
     * @param bytes the bytes; must not be modified
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Buffered(byte[] bytes) implements Body {}

    /**
     * A body that is still arriving; an {@link IOException} from the stream means that the body is
     * truncated.
     *
     * @param stream the bytes
     * @param length length in bytes, or -1 if unknown
     */
    record Streamed(InputStream stream, long length) implements Body {}
  }
}
