package org.amaranthmoor.report;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One key=value line of a node's log.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param time when it was written, by the node's wall clock
 * @param origin the file, followed by any text that a log collector put before the line
 * @param event the event's name
 * @param fields the other key=value pairs in the order of the line, without the level
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
   * Parses a line.
   *
   * @param file the name of the file that contains the line
   * @param line the line; text before its time is allowed
   * @return the line, or empty if it does not have the format of a node's log
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

  // Values are words, or quoted texts that contain no quotes.
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
   * Returns the value of a field.
   *
   * @param key the key
   * @return the value, or an empty text if the line does not have the field
   */
  public String field(String key) {
    return fields.getOrDefault(key, "");
  }

  /** {@return the line as shown to operators: time, origin, event and fields} */
  public String render() {
    StringBuilder text = new StringBuilder(time + "  " + origin + "  " + event);
    fields.forEach((key, value) -> text.append(' ').append(key).append('=').append(value));
    return text.toString();
  }
}
