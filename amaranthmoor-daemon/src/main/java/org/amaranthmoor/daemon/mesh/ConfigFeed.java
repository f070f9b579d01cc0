package org.amaranthmoor.daemon.mesh;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthmoor.model.SourceEpoch;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.yaml.ParseResult;

/**
 * Reads the operator's configuration and evacuations of availability zones from their source.
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

  /** What the records of a read state about the evacuated zones. */
  sealed interface ZoneUpdate {
    /**
     * The read considered the newest record of each zone.
     *
     * @param zones all evacuated zones
     */
    record All(Set<ZoneName> zones) implements ZoneUpdate {}

    /**
     * The read considered the records after its position.
     *
     * @param evacuated whether each zone that the records name is evacuated now
     */
    record Changes(Map<ZoneName, Boolean> evacuated) implements ZoneUpdate {}
  }

  /** Result of a read. */
  sealed interface ReadResult {
    /**
     * The records that were read.
     *
     * @param document the newest document of the configuration, empty if there is no newer one
     * @param zones what the records state about the evacuated zones
     * @param position the position for the next read
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Records(Optional<byte[]> document, ZoneUpdate zones, Position position)
        implements ReadResult {}

    /** The position of the read is no longer valid; the next read begins at {@link #START}. */
    record PositionInvalid() implements ReadResult {}

    /**
     * The source could not be read.
     *
     * @param detail a description of the failure
     */
    record Unavailable(String detail) implements ReadResult {}
  }

  /**
   * Reads the records after a position, or waits for one if there is none. A position of an earlier
   * epoch is invalid.
   *
   * @param position the position that the last read returned, or {@link #START}
   * @param maxWait longest time that the source holds the read until there is a record; zero for a
   *     read that is answered at once
   * @return the result
   */
  ReadResult readAfter(Position position, Duration maxWait);

  /**
   * Decodes a document.
   *
   * @param document the document
   * @return the configuration, or the problems of the document
   */
  ParseResult<RoutingConfig> decode(byte[] document);
}
