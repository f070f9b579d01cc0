package org.amaranthmoor.platform;

import java.util.Optional;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.platform.PlatformLog.AppendResult;
import org.amaranthmoor.platform.PlatformLog.Entry;
import org.amaranthmoor.platform.PlatformLog.ReadResult;
import org.amaranthmoor.protocol.platform.LogRecord;

/**
 * Publishes release notes and determines whether they were accepted.
 *
 * <p>If the result of an append is unknown, the record is looked up in the log before the append is
 * repeated. {@link ClusterStateMachine} ignores repeated records, so a note is applied once.
 * Confined to one thread.
 */
public final class NotePublisher {

  private static final int MAX_ATTEMPTS = 5;
  private static final long FIRST_BACKOFF_MILLIS = 200;

  private final PlatformLog log;
  private final StateReader reader;
  private final Sleeper sleeper;

  /** Sleeps between attempts. Tests replace it. */
  public interface Sleeper {
    /**
     * Sleeps.
     *
     * @param millis the duration in milliseconds
     */
    void sleep(long millis);
  }

  /** Result of publishing a note. */
  public sealed interface Result {
    /**
     * The note is in the log and was accepted or refused.
     *
     * @param verdict the verdict
     */
    record Decided(Verdict verdict) implements Result {}

    /**
     * It is unknown whether the note is in the log, or what its verdict is.
     *
     * @param detail the cause, as one line for operators
     */
    record Unknown(String detail) implements Result {}

    /**
     * The note is not in the log.
     *
     * @param detail the cause, as one line for operators
     */
    record NotPublished(String detail) implements Result {}
  }

  /**
   * Creates a publisher.
   *
   * @param log the log
   * @param sleeper sleeps between attempts
   */
  public NotePublisher(PlatformLog log, Sleeper sleeper) {
    this.log = log;
    this.reader = new StateReader(log);
    this.sleeper = sleeper;
  }

  /**
   * Publishes a note.
   *
   * @param id the id of the note
   * @param text the note's text
   * @return the result
   */
  public Result publish(NoteId id, String text) {
    LogRecord record = LogRecords.note(id, text);
    boolean maybeAppended = false;
    String detail = "";
    long backoffMillis = FIRST_BACKOFF_MILLIS;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (attempt > 0) {
        sleeper.sleep(backoffMillis);
        backoffMillis *= 2;
      }
      switch (log.append(PlatformLog.MAIN_STREAM, record.toByteArray())) {
        case AppendResult.Appended appended -> {
          return findVerdict(record);
        }
        case AppendResult.Unknown unknown -> {
          maybeAppended = true;
          detail = unknown.detail();
          if (isInLog(record)) {
            return findVerdict(record);
          }
        }
        case AppendResult.Rejected rejected -> detail = rejected.detail();
      }
    }
    return maybeAppended ? new Result.Unknown(detail) : new Result.NotPublished(detail);
  }

  private boolean isInLog(LogRecord record) {
    return offsetOf(record).isPresent();
  }

  private Result findVerdict(LogRecord record) {
    Optional<Long> offset = offsetOf(record);
    if (offset.isEmpty()) {
      return new Result.Unknown("the note could not be read back from the log after the append");
    }
    Optional<Verdict> verdict = replayTo(offset.get());
    return verdict
        .<Result>map(Result.Decided::new)
        .orElseGet(
            () ->
                new Result.Unknown(
                    "the note is in the log, but the log could not be read up to its offset to determine the verdict"));
  }

  // The first occurrence decides the verdict; the state machine ignores repeated records.
  private Optional<Long> offsetOf(LogRecord record) {
    long from = 0;
    while (true) {
      switch (log.read(PlatformLog.MAIN_STREAM, from, 256, 0)) {
        case ReadResult.Unavailable unavailable -> {
          return Optional.empty();
        }
        case ReadResult.Expired expired -> from = expired.start();
        case ReadResult.Records records -> {
          for (Entry entry : records.entries()) {
            if (java.util.Arrays.equals(entry.bytes(), record.toByteArray())) {
              return Optional.of(entry.offset());
            }
            from = entry.offset() + 1;
          }
          if (records.entries().isEmpty() || from >= records.end()) {
            return Optional.empty();
          }
        }
      }
    }
  }

  private Optional<Verdict> replayTo(long offset) {
    ClusterState state = ClusterState.empty();
    for (int failures = 0; state.offset() < offset && failures < MAX_ATTEMPTS; ) {
      switch (reader.step(state, 0)) {
        case StateReader.Step.Progress progress -> state = progress.state();
        case StateReader.Step.Unavailable unavailable -> {
          failures++;
          sleeper.sleep(FIRST_BACKOFF_MILLIS);
        }
      }
    }
    return state.verdicts().stream().filter(v -> v.offset() == offset).findFirst();
  }
}
