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
public final class Publisher {

  private static final int ATTEMPTS = 5;
  private static final long FIRST_PAUSE_MILLIS = 200;

  private final PlatformLog log;
  private final StateReader reader;
  private final Pause pause;

  /** Waits between attempts. Extension point for tests. */
  public interface Pause {
    /**
     * Waits.
     *
     * @param millis how long, in milliseconds
     */
    void pause(long millis);
  }

  /** What became of a note. */
  public sealed interface Published {
    /**
     * The note is in the log and was judged.
     *
     * @param verdict the verdict
     */
    record Judged(Verdict verdict) implements Published {}

    /**
     * The note may be in the log.
     *
     * @param detail one line for people
     */
    record Unknown(String detail) implements Published {}

    /**
     * The note is not in the log.
     *
     * @param detail one line for people
     */
    record NotPublished(String detail) implements Published {}
  }

  /**
   * Creates a publisher.
   *
   * @param log the log
   * @param pause waits between attempts
   */
  public Publisher(PlatformLog log, Pause pause) {
    this.log = log;
    this.reader = new StateReader(log);
    this.pause = pause;
  }

  /**
   * Publishes a note.
   *
   * @param id the note
   * @param text the note's text
   * @return what became of it
   */
  public Published publish(NoteId id, String text) {
    LogRecord record = LogRecords.note(id, text);
    boolean maybeAppended = false;
    String detail = "";
    long wait = FIRST_PAUSE_MILLIS;
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      if (attempt > 0) {
        pause.pause(wait);
        wait *= 2;
      }
      switch (log.append(PlatformLog.MAIN_STREAM, record.toByteArray())) {
        case AppendResult.Appended appended -> {
          return verdictOf(record);
        }
        case AppendResult.Unknown unknown -> {
          maybeAppended = true;
          detail = unknown.detail();
          if (isInLog(record)) {
            return verdictOf(record);
          }
        }
        case AppendResult.Rejected rejected -> detail = rejected.detail();
      }
    }
    return maybeAppended ? new Published.Unknown(detail) : new Published.NotPublished(detail);
  }

  private boolean isInLog(LogRecord record) {
    return offsetOf(record).isPresent();
  }

  private Published verdictOf(LogRecord record) {
    Optional<Long> offset = offsetOf(record);
    if (offset.isEmpty()) {
      return new Published.Unknown("the log did not answer after the append");
    }
    Optional<Verdict> verdict = foldTo(offset.get());
    return verdict
        .<Published>map(Published.Judged::new)
        .orElseGet(() -> new Published.Unknown("the note is in the log, but could not be judged"));
  }

  // The first record with an id counts; the fold ignores repeats.
  private Optional<Long> offsetOf(LogRecord record) {
    long from = 0;
    while (true) {
      switch (log.read(PlatformLog.MAIN_STREAM, from, 256, 0)) {
        case ReadResult.Unavailable unavailable -> {
          return Optional.empty();
        }
        case ReadResult.Lapsed lapsed -> from = lapsed.start();
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

  private Optional<Verdict> foldTo(long offset) {
    ClusterState state = ClusterState.empty();
    for (int stuck = 0; state.offset() < offset && stuck < ATTEMPTS; ) {
      switch (reader.step(state, 0)) {
        case StateReader.Step.Progress progress -> state = progress.state();
        case StateReader.Step.Stuck none -> {
          stuck++;
          pause.pause(FIRST_PAUSE_MILLIS);
        }
      }
    }
    return state.verdicts().stream().filter(v -> v.offset() == offset).findFirst();
  }
}
