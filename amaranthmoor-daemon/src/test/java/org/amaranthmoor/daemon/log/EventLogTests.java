package org.amaranthmoor.daemon.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.ResourceBundle;
import org.amaranthmoor.model.TimeSource;
import org.junit.jupiter.api.Test;

class EventLogTests {

  private static final long SECOND = 1_000_000_000L;
  private static final int LINES_AT_ONCE = 200;
  private static final int LINES_PER_SECOND = 100;

  private final List<String> lines = new ArrayList<>();
  private long nowNanos;

  private final EventLog log = new EventLog(new Recorder(), new Clock());

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

  private final class Recorder implements System.Logger {
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

  private long count(String part) {
    return lines.stream().filter(line -> line.contains(part)).count();
  }

  @Test
  void theLinesOfOneKindOfDecisionAreLimited() {
    for (int i = 0; i < 10_000; i++) {
      nowNanos = i * SECOND / 1_000;
      log.decision("call", () -> "end=200");
    }

    assertTrue(lines.size() <= LINES_AT_ONCE + 10 * LINES_PER_SECOND, lines.size() + " lines");
  }

  @Test
  void whatWasLeftOutIsToldWithTheNextLine() {
    for (int i = 0; i < LINES_AT_ONCE + 50; i++) {
      log.decision("call", () -> "end=200");
    }
    nowNanos = SECOND;
    log.decision("call", () -> "end=200");

    assertEquals(1, count("left-out-before=50"));
  }

  @Test
  void linesOfRequestsThatEndedWellTakeNoPlaceOfThoseThatDidNot() {
    for (int i = 0; i < 10_000; i++) {
      log.decision("call", () -> "end=200");
    }
    log.failure("call", () -> "end=OVERLOADED");

    assertEquals(1, count("end=OVERLOADED"));
  }
}
