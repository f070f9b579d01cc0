package org.amaranthmoor.model;

/**
 * Identifies a rule that maps callers' requests to a service.
 *
 * <p>Invariant: 1 to 64 letters, digits, dots, underscores or hyphens, starting with a letter or
 * digit. Immutable and safe for use by several threads.
 *
 * @param value the text of the id
 */
public record RuleName(String value) implements Comparable<RuleName> {

  /** Rule of requests whose rule is not known. */
  public static final RuleName NONE = new RuleName("none");

  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public RuleName {
    Names.requireName("rule name", value);
  }

  @Override
  public int compareTo(RuleName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
