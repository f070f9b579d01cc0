package org.amaranthmoor.caller;

import java.util.Optional;

/**
 * Finds the route of a request.
 *
 * <p>Implementations are immutable and safe for use by several threads.
 */
public interface Router {

  /**
   * Finds the route of a request.
   *
   * @param method the HTTP method
   * @param host the host header, possibly with a port, or an empty string
   * @param path the path, possibly with a query
   * @return the route, or empty if no rule matches
   */
  Optional<Route> find(String method, String host, String path);

  /**
   * Normalizes a host header to the form of the hosts in rules.
   *
   * @param header the host header, possibly with a port
   * @return the host in lower case, without a port
   */
  static String normalizedHost(String header) {
    int colon = header.lastIndexOf(':');
    String host = colon < 0 || header.endsWith("]") ? header : header.substring(0, colon);
    return host.toLowerCase(java.util.Locale.ROOT);
  }

  /**
   * Returns a request's path without its query.
   *
   * @param path the path, possibly with a query
   * @return the path alone
   */
  static String pathWithoutQuery(String path) {
    int mark = path.indexOf('?');
    return mark < 0 ? path : path.substring(0, mark);
  }
}
