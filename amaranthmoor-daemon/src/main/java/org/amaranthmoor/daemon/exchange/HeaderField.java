package org.amaranthmoor.daemon.exchange;

import java.util.Set;

/**
 * One HTTP header.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name
 * @param value the value
 */
public record HeaderField(String name, String value) {

  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "transfer-encoding",
          "content-length",
          "te",
          "trailer",
          "upgrade");

  /**
   * Returns whether a header concerns one connection only, and is not passed on.
   *
   * @param lowerCaseName the header's name in lower case
   * @return whether it does
   */
  public static boolean isHopByHop(String lowerCaseName) {
    return HOP_BY_HOP.contains(lowerCaseName);
  }
}
