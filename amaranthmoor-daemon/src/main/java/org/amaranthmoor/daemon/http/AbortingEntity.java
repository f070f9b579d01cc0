package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.io.OutputStream;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.HttpEntityWrapper;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.io.ModalCloseable;

/**
 * An entity that resets the connection if its body fails while it is written.
 *
 * <p>HttpCore closes the stream that it writes to in every case, which would add the last chunk of
 * a chunked body, or end a body without a length like a complete one. Invariant: a peer never takes
 * a body that failed for a complete one. Not safe for use by several threads.
 */
final class AbortingEntity extends HttpEntityWrapper {

  private final ModalCloseable connection;

  /**
   * Wraps an entity.
   *
   * @param entity the entity
   * @param connection the connection to which it is written
   */
  AbortingEntity(HttpEntity entity, ModalCloseable connection) {
    super(entity);
    this.connection = connection;
  }

  @Override
  public void writeTo(OutputStream out) throws IOException {
    boolean complete = false;
    try {
      super.writeTo(out);
      complete = true;
    } finally {
      if (!complete) {
        connection.close(CloseMode.IMMEDIATE);
      }
    }
  }
}
