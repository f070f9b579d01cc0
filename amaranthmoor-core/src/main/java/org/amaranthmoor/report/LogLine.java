package org.amaranthmoor.report;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One structured line of a node's log.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param time when it was written, by the node's time of day
 * @param origin where it comes from: the file, and what a collector has put before the line
 * @param event the event's name
 * @param fields key=value pairs in the order of the line, without time, level and event
 */
public record LogLine(Instant time, String origin, String event, Map<String, String> fields) {

  private static final String TIME = "time=";
  private static final String EVENT = "event";
  private static final String LEVEL = "level";

  /** Copies the fields. */
  public LogLine {
    fields = java.util.Collections.unmodifiableMap(new LinkedHashMap<>(fields));
  }

  /**
   * Reads a line.
   *
   * @param file where the line is from
   * @param line the line, which may have other text before its time
   * @return the line, or empty if it is none that a node writes
   */
  public static Optional<LogLine> parse(String file, String line) {
    int start = line.indexOf(TIME);
    if (start < 0) {
      return Optional.empty();
    }
    Map<String, String> fields = pairs(line.substring(start));
    String event = fields.remove(EVENT);
    String time = fields.remove(TIME.substring(0, TIME.length() - 1));
    fields.remove(LEVEL);
    if (event == null || time == null) {
      return Optional.empty();
    }
    String before = line.substring(0, start).strip();
    String origin = before.isEmpty() ? file : file + " " + before;
    try {
      return Optional.of(new LogLine(Instant.parse(time), origin, event, fields));
    } catch (DateTimeException e) {
      return Optional.empty();
    }
  }

  // Values are words, or texts between quotes that hold no further quotes.
  private static Map<String, String> pairs(String text) {
    Map<String, String> pairs = new LinkedHashMap<>();
    int at = 0;
    while (at < text.length()) {
      int equals = text.indexOf('=', at);
      if (equals < 0) {
        return pairs;
      }
      String key = text.substring(at, equals).strip();
      boolean quoted = equals + 1 < text.length() && text.charAt(equals + 1) == '"';
      int end = text.indexOf(quoted ? '"' : ' ', equals + (quoted ? 2 : 1));
      end = end < 0 ? text.length() : end;
      pairs.put(key, text.substring(equals + (quoted ? 2 : 1), end));
      at = quoted ? end + 1 : end;
      while (at < text.length() && text.charAt(at) == ' ') {
        at++;
      }
    }
    return pairs;
  }

  /**
   * Returns a field.
   *
   * @param key its key
   * @return its value, or an empty text if the line has none
   */
  public String field(String key) {
    return fields.getOrDefault(key, "");
  }

  /** {@return the line as it is shown: time, origin, event and fields} */
  public String render() {
    StringBuilder text = new StringBuilder(time + "  " + origin + "  " + event);
    fields.forEach((key, value) -> text.append(' ').append(key).append('=').append(value));
    return text.toString();
  }
}
