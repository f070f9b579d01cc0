package org.amaranthmoor.daemon.caller;

import java.io.IOException;

/**
 * The caller's side of one call.
 *
 * <p>Used by the call's thread.
 */
public interface CallerConnection {

  /**
   * Reads more of the request's body.
   *
   * @param buffer takes the bytes
   * @return bytes read, or -1 at the end
   * @throws IOException if the caller went away
   */
  int readBody(byte[] buffer) throws IOException;

  /** {@return whether the caller has closed its connection} */
  boolean isClosed();
}
