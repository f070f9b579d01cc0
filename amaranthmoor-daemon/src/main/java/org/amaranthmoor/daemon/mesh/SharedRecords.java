package org.amaranthmoor.daemon.mesh;

import java.util.Map;
import org.amaranthmoor.model.SourceEpoch;

/**
 * Records that all nodes share and that outlast them; the newest record of each key counts.
 *
 * <p>Implementations are safe for use by several threads. Calls block, with a time limit.
 */
public interface SharedRecords {

  /** Result of reading. */
  sealed interface ReadResult {
    /**
     * All records were read.
     *
     * @param byKey the newest record of each key
     * @param epoch the epoch of the source that holds them
     */
    record AllRecords(Map<String, byte[]> byKey, SourceEpoch epoch) implements ReadResult {
      /** Copies the records. */
      public AllRecords {
        byKey = Map.copyOf(byKey);
      }
    }

    /**
     * The records could not be read.
     *
     * @param detail what was seen
     */
    record Unavailable(String detail) implements ReadResult {}
  }

  /** Result of writing. */
  sealed interface WriteResult {
    /**
     * The record is kept.
     *
     * @param epoch the epoch of the source that keeps it
     */
    record Stored(SourceEpoch epoch) implements WriteResult {}

    /**
     * The record may be kept or not.
     *
     * @param detail what was seen
     */
    record Failed(String detail) implements WriteResult {}
  }

  /** {@return all records, or why they cannot be read} */
  ReadResult readAll();

  /**
   * Writes a record.
   *
   * @param key the key
   * @param value the record
   * @return whether the record is kept
   */
  WriteResult write(String key, byte[] value);
}
