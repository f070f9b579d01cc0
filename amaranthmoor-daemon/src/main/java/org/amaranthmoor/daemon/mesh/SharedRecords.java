package org.amaranthmoor.daemon.mesh;

import java.util.Map;
import org.amaranthmoor.model.SourceEpoch;

/**
 * Keyed records that all nodes share and that outlive them; the newest record of each key is valid.
 *
 * <p>Implementations are safe for use by several threads. Calls block, with a time limit.
 */
public interface SharedRecords {

  /** Result of a read. */
  sealed interface ReadResult {
    /**
     * All records were read.
     *
     * @param byKey the newest record of each key
     * @param epoch the epoch in which the source returned them
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
     * @param detail a description of the failure
     */
    record Unavailable(String detail) implements ReadResult {}
  }

  /** Result of a write. */
  sealed interface WriteResult {
    /**
     * The source has stored the record.
     *
     * @param epoch the epoch in which the source stored it
     */
    record Stored(SourceEpoch epoch) implements WriteResult {}

    /**
     * The write failed; the record may be stored nevertheless.
     *
     * @param detail a description of the failure
     */
    record Failed(String detail) implements WriteResult {}
  }

  /** {@return all records, or the reason why they cannot be read} */
  ReadResult readAll();

  /**
   * Writes a record.
   *
   * @param key the key
   * @param value the record
   * @return whether the record is stored
   */
  WriteResult write(String key, byte[] value);
}
