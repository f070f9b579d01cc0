package org.amaranthmoor.platform;

import java.util.List;

/**
 * The platform's append-only log service.
 *
 * <p>Implementations are safe for use by several threads. Methods block for a bounded time and
 * report failures as results.
 */
public interface PlatformLog {

  /** Stream of notes and announcements. */
  String MAIN_STREAM = "amaranthmoor";

  /** Stream of checkpoints. */
  String CHECKPOINT_STREAM = "amaranthmoor-checkpoints";

  /**
   * A record with its offset.
   *
   * @param offset the offset
   * @param bytes the record; not to be changed
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Entry(long offset, byte[] bytes) {}

  /** Result of reading. */
  sealed interface ReadResult {
    /**
     * Records from the asked offset on.
     *
     * @param entries the records in order; empty at the end of the stream
     * @param start offset of the oldest record kept
     * @param end offset that the next appended record will have
     */
    record Records(List<Entry> entries, long start, long end) implements ReadResult {}

    /**
     * The asked offset is older than the oldest record kept.
     *
     * @param start offset of the oldest record kept
     * @param end offset that the next appended record will have
     */
    record Expired(long start, long end) implements ReadResult {}

    /**
     * The service did not answer.
     *
     * @param detail one line for people
     */
    record Unavailable(String detail) implements ReadResult {}
  }

  /** Result of appending. */
  sealed interface AppendResult {
    /**
     * The record is in the log.
     *
     * @param offset its offset
     */
    record Appended(long offset) implements AppendResult {}

    /**
     * The record is not in the log.
     *
     * @param detail one line for people
     */
    record Rejected(String detail) implements AppendResult {}

    /**
     * The record may be in the log; reading tells.
     *
     * @param detail one line for people
     */
    record Unknown(String detail) implements AppendResult {}
  }

  /**
   * Reads records.
   *
   * @param stream the stream
   * @param from offset of the first record wanted
   * @param maxRecords most records wanted; 0 asks for the bounds only
   * @param waitMillis how long the service may wait for a record, in milliseconds
   * @return the result
   */
  ReadResult read(String stream, long from, int maxRecords, long waitMillis);

  /**
   * Appends a record.
   *
   * @param stream the stream
   * @param bytes the record
   * @return the result
   */
  AppendResult append(String stream, byte[] bytes);
}
