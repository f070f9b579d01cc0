package org.amaranthmoor.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Gathers the lines of one filter from the logs of several nodes.
 *
 * <p>Keeps only what belongs to the story, so that logs of any size can be read. Not safe for use
 * by several threads.
 */
public final class LogTimeline {

  /** Lines that could not be read and are named; further ones are only counted. */
  private static final int MAX_LISTED_PROBLEMS = 5;

  private final LogFilter filter;
  private final List<LogLine> lines = new ArrayList<>();
  private final List<String> problems = new ArrayList<>();
  private long unreadableLines;

  /**
   * Creates an empty story.
   *
   * @param filter selects the lines
   */
  public LogTimeline(LogFilter filter) {
    this.filter = filter;
  }

  /**
   * Reads one line.
   *
   * @param file where it is from
   * @param number its number there, from 1
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

  /** {@return the lines in the order of their times; lines of one moment as they were read} */
  public List<LogLine> lines() {
    return lines.stream().sorted(Comparator.comparing(LogLine::time)).toList();
  }

  /** {@return what could not be read, the first ones by file and line, and how many there were} */
  public List<String> problems() {
    List<String> all = new ArrayList<>(problems);
    if (unreadableLines > MAX_LISTED_PROBLEMS) {
      all.add(unreadableLines + " lines could not be read");
    }
    return all;
  }
}
