package org.amaranthmoor.daemon.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.io.entity.HttpEntityWrapper;
import org.apache.hc.core5.util.Timeout;

/**
 * The entity of a request that is answered before its body has been read.
 *
 * <p>HttpCore reads the rest of a request after its response. A connection that is closed with
 * unread bytes is reset, which may destroy the response before the client has read it, so the rest
 * is drained; but for a bounded time and size, as a client may send slowly, endlessly, or not at
 * all. Not safe for use by several threads.
 */
public final class DrainedEntity extends HttpEntityWrapper {

  /** Largest part of the body that is drained, in bytes. */
  private static final long MAX_BYTES = 16L << 20;

  /** Longest time that is spent on draining, in nanoseconds. */
  private static final long MAX_NANOS = 1_000_000_000L;

  /** Longest time without further bytes, in milliseconds. */
  private static final long MAX_PAUSE_MILLIS = 300;

  private static final int BUFFER_BYTES = 16 * 1024;

  private final DefaultBHttpServerConnection connection;

  /**
   * Wraps the entity of a request.
   *
   * @param entity the entity
   * @param connection the connection of the client
   */
  public DrainedEntity(HttpEntity entity, DefaultBHttpServerConnection connection) {
    super(entity);
    this.connection = connection;
  }

  @Override
  public InputStream getContent() throws IOException {
    return new FilterInputStream(super.getContent()) {
      @Override
      public void close() throws IOException {
        connection.flush();
        drain(in);
      }
    };
  }

  private void drain(InputStream rest) throws IOException {
    connection.setSocketTimeout(Timeout.ofMilliseconds(MAX_PAUSE_MILLIS));
    long endNanos = System.nanoTime() + MAX_NANOS;
    byte[] buffer = new byte[BUFFER_BYTES];
    long drained = 0;
    try {
      int count = 0;
      while (count >= 0 && drained < MAX_BYTES && System.nanoTime() - endNanos < 0) {
        count = rest.read(buffer);
        drained += Math.max(0, count);
      }
    } catch (IOException e) {
      // The response has been sent; the connection is closed after it in any case.
    }
  }
}
