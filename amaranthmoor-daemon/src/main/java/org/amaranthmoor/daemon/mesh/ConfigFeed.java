package org.amaranthmoor.daemon.mesh;

import org.amaranthmoor.model.SourceEpoch;
import org.amaranthmoor.yaml.ParseResult;

/**
 * Reads the operator's configuration from its source.
 *
 * <p>Implementations are safe for use by several threads. Reads block, with a time limit.
 */
public interface ConfigFeed {

  /**
   * The position up to which the source was read.
   *
   * @param epoch the epoch of the source in which the offset is valid
   * @param offset the offset of the next record
   */
  record Position(SourceEpoch epoch, long offset) {}

  /** Position of a reader that has read nothing yet. */
  Position START = new Position(SourceEpoch.UNKNOWN, -1);

  /** Result of a read. */
  sealed interface ReadResult {
    /**
     * A configuration.
     *
     * @param document the newest document
     * @param position the position for the next read
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Document(byte[] document, Position position) implements ReadResult {}

    /**
     * There is no newer document, or the position of the read is no longer valid.
     *
     * @param position the position for the next read; {@link #START} if that of this read is
     *     invalid
     */
    record NoDocument(Position position) implements ReadResult {}

    /**
     * The source could not be read.
     *
     * @param detail a description of the failure
     */
    record Unavailable(String detail) implements ReadResult {}
  }

  /**
   * Reads the newest document after a position, or waits for one if there is none. A position of an
   * earlier epoch is invalid; the next read begins at the start.
   *
   * @param position the position that the last read returned, or {@link #START}
   * @return the result
   */
  ReadResult readAfter(Position position);

  /**
   * Decodes a document.
   *
   * @param document the document
   * @return the configuration, or the problems of the document
   */
  ParseResult<RoutingConfig> decode(byte[] document);
}
