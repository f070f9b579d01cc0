package org.amaranthmoor.daemon.mesh;

import org.amaranthmoor.model.SourceEpoch;
import org.amaranthmoor.yaml.Parsed;

/**
 * Where the operator's configuration comes from.
 *
 * <p>Implementations are safe for use by several threads. Calls block, with a time limit.
 */
public interface ConfigFeed {

  /**
   * A position up to which the source was read.
   *
   * @param epoch the epoch of the source in which the offset holds
   * @param offset the offset of the next record there
   */
  record Position(SourceEpoch epoch, long offset) {}

  /** Position before which nothing was read. */
  Position START = new Position(SourceEpoch.UNKNOWN, -1);

  /** Result of reading. */
  sealed interface ReadResult {
    /**
     * A configuration.
     *
     * @param document the newest document
     * @param position where to go on
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Document(byte[] document, Position position) implements ReadResult {}

    /**
     * There is no newer document.
     *
     * @param position where to go on
     */
    record NoDocument(Position position) implements ReadResult {}

    /**
     * The feed does not answer.
     *
     * @param detail what was seen
     */
    record Unavailable(String detail) implements ReadResult {}
  }

  /**
   * Reads the newest document after a position, waiting for one if there is none. A position of an
   * earlier epoch is void, and the start is where to go on.
   *
   * @param position where to go on, or {@link #START}
   * @return what was found
   */
  ReadResult readAfter(Position position);

  /**
   * Decodes a document.
   *
   * @param document the document
   * @return the configuration, or the problems
   */
  Parsed<RoutingConfig> decode(byte[] document);
}
