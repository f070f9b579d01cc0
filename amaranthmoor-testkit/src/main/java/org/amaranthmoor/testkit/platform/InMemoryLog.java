package org.amaranthmoor.testkit.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.model.TokenBucket;
import org.amaranthmoor.platform.PlatformLog;

/**
 * An append-only log in memory that can inject the faults of the platform's log.
 *
 * <p>Offsets of a stream start at 0, records expire after the retention time, and the rate of
 * appends is limited. The log can be made unavailable, and it can lose the response to an append
 * that took effect. Safe for use by several threads.
 */
public final class InMemoryLog implements PlatformLog {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final TimeSource time;
  private final long retentionMillis;
  private final TokenBucket appends;
  private final Map<String, Stream> streams = new HashMap<>();
  private boolean down;
  private int responsesToLose;
  private long appended;

  @SuppressWarnings("ArrayRecordComponent")
  private record StoredRecord(long offset, byte[] bytes, long atMillis) {}

  private static final class Stream {
    private final Deque<StoredRecord> records = new ArrayDeque<>();
    private long end;

    private long start() {
      return records.isEmpty() ? end : records.getFirst().offset();
    }
  }

  /**
   * Creates an empty log.
   *
   * @param time source of time
   * @param retentionMillis how long records are kept, in milliseconds
   * @param appendsPerSecond limit on the rate of appends to all streams, in appends per second
   */
  public InMemoryLog(TimeSource time, long retentionMillis, int appendsPerSecond) {
    this.time = time;
    this.retentionMillis = retentionMillis;
    this.appends = new TokenBucket(appendsPerSecond, appendsPerSecond, time.nanos());
  }

  /**
   * Starts or ends an outage.
   *
   * @param isDown whether the log rejects appends and reads
   */
  public synchronized void setDown(boolean isDown) {
    down = isDown;
    notifyAll();
  }

  /**
   * Loses the responses to the next appends, which still take effect.
   *
   * @param count number of appends
   */
  public synchronized void loseResponses(int count) {
    responsesToLose = count;
  }

  /** {@return number of records that were appended} */
  public synchronized long appended() {
    return appended;
  }

  @Override
  public synchronized AppendResult append(String stream, byte[] bytes) {
    if (down) {
      return new AppendResult.Rejected("the log is down");
    }
    if (!appends.tryAcquire(time.nanos())) {
      return new AppendResult.Rejected("too many appends per second");
    }
    Stream target = streams.computeIfAbsent(stream, name -> new Stream());
    long offset = target.end++;
    target.records.addLast(new StoredRecord(offset, bytes.clone(), time.wallMillis()));
    appended++;
    notifyAll();
    if (responsesToLose > 0) {
      responsesToLose--;
      return new AppendResult.Unknown(
          "the response to the append to stream " + stream + " was lost");
    }
    return new AppendResult.Appended(offset);
  }

  @Override
  public synchronized ReadResult read(String stream, long from, int maxRecords, long waitMillis) {
    awaitRecord(stream, from, waitMillis);
    if (down) {
      return new ReadResult.Unavailable("the log is down");
    }
    Stream source = streams.computeIfAbsent(stream, name -> new Stream());
    dropExpired(source);
    if (from < source.start() && maxRecords > 0) {
      return new ReadResult.Expired(source.start(), source.end);
    }
    List<Entry> entries = new ArrayList<>();
    for (StoredRecord record : source.records) {
      if (record.offset() >= from && entries.size() < maxRecords) {
        entries.add(new Entry(record.offset(), record.bytes()));
      }
    }
    return new ReadResult.Records(entries, source.start(), source.end);
  }

  private void awaitRecord(String stream, long from, long waitMillis) {
    long deadlineNanos = time.nanos() + waitMillis * NANOS_PER_MILLI;
    long remainingMillis = waitMillis;
    while (remainingMillis > 0 && !down && end(stream) <= from) {
      try {
        wait(remainingMillis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      remainingMillis = (deadlineNanos - time.nanos()) / NANOS_PER_MILLI;
    }
  }

  private long end(String stream) {
    Stream found = streams.get(stream);
    return found == null ? 0 : found.end;
  }

  private void dropExpired(Stream stream) {
    long oldestMillis = time.wallMillis() - retentionMillis;
    while (!stream.records.isEmpty() && stream.records.getFirst().atMillis() < oldestMillis) {
      stream.records.removeFirst();
    }
  }
}
