package org.amaranthmoor.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Collects the lines that a filter selects from the logs of several nodes, in order of time.
 *
 * <p>Keeps only the selected lines in memory, so that logs of any size can be read. Not safe for
 * use by several threads.
 */
public final class LogTimeline {

  /** Maximum number of malformed lines that are listed; further ones are only counted. */
  private static final int MAX_LISTED_PROBLEMS = 5;

  private final LogFilter filter;
  private final List<LogLine> lines = new ArrayList<>();
  private final List<String> problems = new ArrayList<>();
  private long unreadableLines;

  /**
   * Creates an empty timeline.
   *
   * @param filter selects the lines
   */
  public LogTimeline(LogFilter filter) {
    this.filter = filter;
  }

  /**
   * Adds a line if the filter selects it.
   *
   * @param file the name of the file that contains the line
   * @param number the number of the line, counted from 1
   * @param text the line
   */
  public void add(String file, long number, String text) {
    LogLine.parse(file, text)
        .ifPresentOrElse(
            line -> {
              if (filter.matches(line)) {
                lines.add(line);
              }
            },
            () -> addUnreadable(file, number, text));
  }

  private void addUnreadable(String file, long number, String text) {
    if (text.isBlank()) {
      return;
    }
    unreadableLines++;
    if (unreadableLines <= MAX_LISTED_PROBLEMS) {
      problems.add(file + ":" + number + ": not a line of a node's log");
    }
  }

  /** {@return the lines, sorted by time; lines with equal times are in the order of reading} */
  public List<LogLine> lines() {
    return lines.stream().sorted(Comparator.comparing(LogLine::time)).toList();
  }

  /**
   * {@return the first malformed lines with file and line number, and the count if there are more}
   */
  public List<String> problems() {
    List<String> all = new ArrayList<>(problems);
    if (unreadableLines > MAX_LISTED_PROBLEMS) {
      all.add(unreadableLines + " lines could not be read");
    }
    return all;
  }
}
