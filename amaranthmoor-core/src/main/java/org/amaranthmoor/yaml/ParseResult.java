package org.amaranthmoor.yaml;

import java.util.Comparator;
import java.util.List;

/**
 * Result of reading a document: a value, or everything that is wrong with it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param <T> the type of the value
 */
public sealed interface ParseResult<T> {

  /**
   * The document is valid.
   *
   * @param value what it says
   * @param <T> the type of the value
   */
  record Valid<T>(T value) implements ParseResult<T> {}

  /**
   * The document is not valid.
   *
   * @param problems at least one problem, in order of lines
   * @param <T> the type of the value
   */
  record Invalid<T>(List<Problem> problems) implements ParseResult<T> {
    /** Copies the problems in order of lines. */
    public Invalid {
      problems = problems.stream().sorted(Comparator.comparingInt(Problem::line)).toList();
    }
  }
}
