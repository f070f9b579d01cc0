package org.amaranthmoor.daemon.exchange;

import java.util.Set;

/**
 * An HTTP header field.
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
   * Returns whether a header is hop-by-hop: it concerns one connection only and is not forwarded.
   *
   * @param lowerCaseName the name of the header in lower case
   * @return whether the header is hop-by-hop
   */
  public static boolean isHopByHop(String lowerCaseName) {
    return HOP_BY_HOP.contains(lowerCaseName);
  }
}
