package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.io.OutputStream;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.entity.HttpEntityWrapper;

/**
 * An entity that marks a {@link FailClosedOutputStream} as whole once its body has been written.
 *
 * <p>Not safe for use by several threads.
 */
final class WholeBodyEntity extends HttpEntityWrapper {

  /**
   * Wraps an entity.
   *
   * @param entity the entity
   */
  WholeBodyEntity(HttpEntity entity) {
    super(entity);
  }

  @Override
  public void writeTo(OutputStream out) throws IOException {
    super.writeTo(out);
    if (out instanceof FailClosedOutputStream body) {
      body.markWhole();
    }
  }
}
