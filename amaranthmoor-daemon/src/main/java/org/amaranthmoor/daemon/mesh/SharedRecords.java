package org.amaranthmoor.daemon.mesh;

import java.util.Map;

/**
 * Records that all nodes share and that outlast them; the newest record of each key counts.
 *
 * <p>Implementations are safe for use by several threads. Calls block, with a time limit.
 */
public interface SharedRecords {

  /** Result of reading. */
  sealed interface Reading {
    /**
     * All records were read.
     *
     * @param byKey the newest record of each key
     */
    record Whole(Map<String, byte[]> byKey) implements Reading {
      /** Copies the records. */
      public Whole {
        byKey = Map.copyOf(byKey);
      }
    }

    /**
     * The records could not be read.
     *
     * @param detail what was seen
     */
    record Unavailable(String detail) implements Reading {}
  }

  /** {@return all records, or why they cannot be read} */
  Reading readAll();

  /**
   * Writes a record.
   *
   * @param key the key
   * @param value the record
   * @return empty if the record is kept, else what was seen; it may be kept all the same
   */
  java.util.Optional<String> write(String key, byte[] value);
}
