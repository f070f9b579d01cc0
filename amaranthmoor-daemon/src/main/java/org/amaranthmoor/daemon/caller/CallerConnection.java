package org.amaranthmoor.daemon.caller;

import java.io.IOException;
import java.net.SocketTimeoutException;

/**
 * The connection to the caller of one call.
 *
 * <p>Confined to the call's thread.
 */
public interface CallerConnection {

  /**
   * Reads the next bytes of the request's body, waiting until some arrive.
   *
   * @param buffer receives the bytes
   * @param maxNanos longest time to wait, in nanoseconds
   * @return number of bytes read, or -1 at the end of the body
   * @throws SocketTimeoutException if nothing has arrived in that time
   * @throws IOException if the connection fails before the body is complete
   */
  int readBody(byte[] buffer, long maxNanos) throws IOException;

  /** {@return whether the caller has closed its connection} */
  boolean isClosed();
}
