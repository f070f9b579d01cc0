package org.amaranthmoor.daemon.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.ResourceBundle;
import org.amaranthmoor.model.TimeSource;
import org.junit.jupiter.api.Test;

class EventLogTests {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final int BURST_LINES = 200;
  private static final int LINES_PER_SECOND = 100;

  private final List<String> lines = new ArrayList<>();
  private long nowNanos;

  private final EventLog log = new EventLog(new RecordingLogger(), new Clock());

  private final class Clock implements TimeSource {
    @Override
    public long nanos() {
      return nowNanos;
    }

    @Override
    public long wallMillis() {
      return 0;
    }
  }

  private final class RecordingLogger implements System.Logger {
    @Override
    public String getName() {
      return "recorder";
    }

    @Override
    public boolean isLoggable(Level level) {
      return true;
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String text, Throwable thrown) {
      lines.add(text);
    }

    @Override
    public void log(Level level, ResourceBundle bundle, String format, Object... parameters) {
      lines.add(format);
    }
  }

  private long countContaining(String part) {
    return lines.stream().filter(line -> line.contains(part)).count();
  }

  // Code that handles a failure must not end before it has released everything.
  @Test
  void aLineThatCannotBeCreatedIsCountedAndDoesNotThrow() {
    log.warn(
        "link-failed",
        () -> {
          throw new OutOfMemoryError("Java heap space");
        });

    assertEquals(1, log.suppressedLines());
  }

  @Test
  void limitsLinesOfOneEvent() {
    for (int i = 0; i < 10_000; i++) {
      nowNanos = i * NANOS_PER_SECOND / 1_000;
      log.requestSucceeded("call", () -> "end=200");
    }

    assertTrue(lines.size() <= BURST_LINES + 10 * LINES_PER_SECOND, lines.size() + " lines");
  }

  @Test
  void nextLineStatesNumberOfSuppressedLines() {
    for (int i = 0; i < BURST_LINES + 50; i++) {
      log.requestSucceeded("call", () -> "end=200");
    }
    nowNanos = NANOS_PER_SECOND;
    log.requestSucceeded("call", () -> "end=200");

    assertEquals(1, countContaining("left-out-before=50"));
  }

  @Test
  void successfulRequestsDoNotSuppressLinesOfFailedRequests() {
    for (int i = 0; i < 10_000; i++) {
      log.requestSucceeded("call", () -> "end=200");
    }
    log.requestFailed("call", () -> "end=OVERLOADED");

    assertEquals(1, countContaining("end=OVERLOADED"));
  }
}
