package org.amaranthmoor.yaml;

import java.util.Comparator;
import java.util.List;

/**
 * Result of parsing a document: a value, or all problems of the document.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param <T> the type of the value
 */
public sealed interface ParseResult<T> {

  /**
   * The document is valid.
   *
   * @param value the parsed value
   * @param <T> the type of the value
   */
  record Valid<T>(T value) implements ParseResult<T> {}

  /**
   * The document is not valid.
   *
   * @param problems the problems, at least one, sorted by line
   * @param <T> the type of the value
   */
  record Invalid<T>(List<Problem> problems) implements ParseResult<T> {
    /** Copies the problems, sorted by line. */
    public Invalid {
      problems = problems.stream().sorted(Comparator.comparingInt(Problem::line)).toList();
    }
  }
}
