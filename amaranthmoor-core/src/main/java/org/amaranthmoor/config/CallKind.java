package org.amaranthmoor.config;

import java.util.List;
import org.amaranthmoor.model.Priority;

/**
 * How calls of one kind within a rule are treated.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param pathPrefix prefix of the path below the rule's own prefix
 * @param methods HTTP methods, empty for all
 * @param idempotent whether a call may be run again
 * @param priority order in which calls get a slot
 * @param deadlineMillis deadline of calls that state none, in milliseconds; 0 for the service's
 */
public record CallKind(
    String pathPrefix,
    List<String> methods,
    boolean idempotent,
    Priority priority,
    int deadlineMillis) {

  /** Copies the methods. */
  public CallKind {
    methods = List.copyOf(methods);
  }

  /**
   * Returns whether a call is of this kind.
   *
   * @param method the HTTP method
   * @param path the path below the rule's prefix, starting with a slash
   * @return whether it matches
   */
  public boolean matches(String method, String path) {
    return path.startsWith(pathPrefix) && (methods.isEmpty() || methods.contains(method));
  }
}
