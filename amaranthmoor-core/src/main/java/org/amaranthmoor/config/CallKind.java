package org.amaranthmoor.config;

import java.util.List;
import org.amaranthmoor.model.Priority;

/**
 * Properties of the calls within a rule that match a path prefix and methods.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param pathPrefix prefix of the path after the prefix of the rule
 * @param methods HTTP methods, empty for all
 * @param idempotent whether a call may safely run more than once
 * @param priority priority with which calls get a slot
 * @param deadlineMillis deadline of calls that set none, in milliseconds; 0 for the default of the
 *     service
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
   * @param path the path after the prefix of the rule, starting with a slash
   * @return whether it matches
   */
  public boolean matches(String method, String path) {
    return path.startsWith(pathPrefix) && (methods.isEmpty() || methods.contains(method));
  }
}
