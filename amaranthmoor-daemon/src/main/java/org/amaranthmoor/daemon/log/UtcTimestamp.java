package org.amaranthmoor.daemon.log;

import java.time.LocalDate;

/**
 * Formats the time of a log line in UTC, with milliseconds, as ISO 8601 defines it.
 *
 * <p>The formatters of the Java library build their parsers at the first use, which delays the
 * start of a node. Stateless and safe for use by several threads.
 */
final class UtcTimestamp {

  private static final long MILLIS_PER_DAY = 86_400_000L;
  private static final int MILLIS_PER_HOUR = 3_600_000;
  private static final int MILLIS_PER_MINUTE = 60_000;
  private static final int MILLIS_PER_SECOND = 1_000;
  private static final int DECIMAL_BASE = 10;

  private UtcTimestamp() {}

  /**
   * Formats a time.
   *
   * @param epochMillis milliseconds since 1970
   * @return the time, such as {@code 2026-12-04T17:03:13.974Z}
   */
  static String format(long epochMillis) {
    int millis = (int) Math.floorMod(epochMillis, MILLIS_PER_DAY);
    StringBuilder text = new StringBuilder();
    text.append(LocalDate.ofEpochDay(Math.floorDiv(epochMillis, MILLIS_PER_DAY))).append('T');
    appendDigits(text, millis / MILLIS_PER_HOUR, 2);
    text.append(':');
    appendDigits(text, millis % MILLIS_PER_HOUR / MILLIS_PER_MINUTE, 2);
    text.append(':');
    appendDigits(text, millis % MILLIS_PER_MINUTE / MILLIS_PER_SECOND, 2);
    text.append('.');
    appendDigits(text, millis % MILLIS_PER_SECOND, 3);
    return text.append('Z').toString();
  }

  private static void appendDigits(StringBuilder text, int number, int digits) {
    if (digits > 1) {
      appendDigits(text, number / DECIMAL_BASE, digits - 1);
    }
    text.append((char) ('0' + number % DECIMAL_BASE));
  }
}
