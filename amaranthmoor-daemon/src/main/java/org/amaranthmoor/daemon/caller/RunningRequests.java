package org.amaranthmoor.daemon.caller;

import java.util.OptionalInt;
import org.amaranthmoor.model.CallId;

/**
 * Looks up the requests that run at the target beside this node.
 *
 * <p>Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface RunningRequests {

  /**
   * Returns which attempt of a request runs at the target now.
   *
   * @param id the caller's id for the request
   * @return the number of the attempt, 1 for the first; empty if the request does not run there
   */
  OptionalInt attempt(CallId id);
}
