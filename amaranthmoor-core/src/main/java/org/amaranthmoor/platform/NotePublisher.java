package org.amaranthmoor.platform;

import java.util.Optional;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.platform.PlatformLog.AppendResult;
import org.amaranthmoor.platform.PlatformLog.Entry;
import org.amaranthmoor.platform.PlatformLog.ReadResult;
import org.amaranthmoor.protocol.platform.LogRecord;

/**
 * Publishes release notes and finds out what became of them.
 *
 * <p>An append whose answer was lost is looked up in the log before it is repeated, and a repeated
 * record is ignored by the fold, so a note counts once. Confined to one thread.
 */
public final class NotePublisher {

  private static final int MAX_ATTEMPTS = 5;
  private static final long FIRST_BACKOFF_MILLIS = 200;

  private final PlatformLog log;
  private final StateReader reader;
  private final Sleeper sleeper;

  /** Waits between attempts. Extension point for tests. */
  public interface Sleeper {
    /**
     * Waits.
     *
     * @param millis how long, in milliseconds
     */
    void sleep(long millis);
  }

  /** What became of a note. */
  public sealed interface Result {
    /**
     * The note is in the log and was judged.
     *
     * @param verdict the verdict
     */
    record Decided(Verdict verdict) implements Result {}

    /**
     * The note may be in the log.
     *
     * @param detail one line for people
     */
    record Unknown(String detail) implements Result {}

    /**
     * The note is not in the log.
     *
     * @param detail one line for people
     */
    record NotPublished(String detail) implements Result {}
  }

  /**
   * Creates a publisher.
   *
   * @param log the log
   * @param sleeper waits between attempts
   */
  public NotePublisher(PlatformLog log, Sleeper sleeper) {
    this.log = log;
    this.reader = new StateReader(log);
    this.sleeper = sleeper;
  }

  /**
   * Publishes a note.
   *
   * @param id the note
   * @param text the note's text
   * @return what became of it
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
      return new Result.Unknown("the log did not answer after the append");
    }
    Optional<Verdict> verdict = replayTo(offset.get());
    return verdict
        .<Result>map(Result.Decided::new)
        .orElseGet(() -> new Result.Unknown("the note is in the log, but could not be judged"));
  }

  // The first record with an id counts; the fold ignores repeats.
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
