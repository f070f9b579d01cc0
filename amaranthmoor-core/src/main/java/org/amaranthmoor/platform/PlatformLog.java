package org.amaranthmoor.platform;

import java.util.List;

/**
 * The platform's append-only log service.
 *
 * <p>Implementations are safe for use by several threads. Methods block for a bounded time and
 * report failures as results instead of exceptions.
 */
public interface PlatformLog {

  /** Stream of release notes, announcements, leaves and evictions. */
  String MAIN_STREAM = "amaranthmoor";

  /** Stream of checkpoints. */
  String CHECKPOINT_STREAM = "amaranthmoor-checkpoints";

  /**
   * A record with its offset.
   *
   * @param offset the offset
   * @param bytes the record; must not be modified
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Entry(long offset, byte[] bytes) {}

  /** Result of a read. */
  sealed interface ReadResult {
    /**
     * Records from the requested offset on.
     *
     * @param entries the records in order; empty at the end of the stream
     * @param start offset of the oldest retained record
     * @param end offset of the next record to be appended
     */
    record Records(List<Entry> entries, long start, long end) implements ReadResult {}

    /**
     * The record at the requested offset has exceeded its retention time and was deleted.
     *
     * @param start offset of the oldest retained record
     * @param end offset of the next record to be appended
     */
    record Expired(long start, long end) implements ReadResult {}

    /**
     * The service did not answer.
     *
     * @param detail the cause, as one line for operators
     */
    record Unavailable(String detail) implements ReadResult {}
  }

  /** Result of an append. */
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
     * @param detail the cause, as one line for operators
     */
    record Rejected(String detail) implements AppendResult {}

    /**
     * It is unknown whether the record is in the log; a read shows it.
     *
     * @param detail the cause, as one line for operators
     */
    record Unknown(String detail) implements AppendResult {}
  }

  /**
   * Reads records.
   *
   * @param stream the stream
   * @param from offset of the first record to read
   * @param maxRecords maximum number of records; with 0, only the start and end of the stream are
   *     returned
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
