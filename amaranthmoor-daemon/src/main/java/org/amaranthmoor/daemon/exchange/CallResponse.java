package org.amaranthmoor.daemon.exchange;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.model.LoadReport;

/**
 * A target's answer.
 *
 * <p>Read by one thread. A whole answer holds its body; a streamed one must be read to its end or
 * closed.
 *
 * @param status the HTTP status
 * @param headers headers for the caller, without those of the connection
 * @param body the body
 * @param load load of the target side when it answered, if known
 */
public record CallResponse(
    int status, List<HeaderField> headers, Body body, Optional<LoadReport> load) {

  /** Largest body that is held back until it is complete, in bytes. */
  public static final int MAX_BUFFERED_BYTES = 64 * 1024;

  /** A body. */
  public sealed interface Body {
    /**
     * A body that is complete.
     *
     * @param bytes the bytes; not to be changed
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Buffered(byte[] bytes) implements Body {}

    /**
     * A body that is still arriving; an {@link IOException} while reading means that it broke off.
     *
     * @param stream the bytes
     * @param length length in bytes, or -1 if not known
     */
    record Streamed(InputStream stream, long length) implements Body {}
  }
}
