package org.amaranthmoor.daemon.mesh;

import org.amaranthmoor.yaml.Parsed;

/**
 * Where the operator's configuration comes from.
 *
 * <p>Implementations are safe for use by several threads. Calls block, with a time limit.
 */
public interface ConfigFeed {

  /** Position before which nothing was read. */
  long START = -1;

  /** Result of reading. */
  sealed interface Reading {
    /**
     * A configuration.
     *
     * @param document the newest document
     * @param position where to go on
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Document(byte[] document, long position) implements Reading {}

    /**
     * There is no newer document.
     *
     * @param position where to go on
     */
    record Nothing(long position) implements Reading {}

    /**
     * The feed does not answer.
     *
     * @param detail what was seen
     */
    record Unavailable(String detail) implements Reading {}
  }

  /**
   * Reads the newest document after a position, waiting for one if there is none.
   *
   * @param position where to go on, or {@link #START}
   * @return what was found
   */
  Reading next(long position);

  /**
   * Decodes a document.
   *
   * @param document the document
   * @return the configuration, or the problems
   */
  Parsed<RoutingConfig> decode(byte[] document);
}
