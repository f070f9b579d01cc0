package org.amaranthmoor.model;

/**
 * Identifies a team, on whose behalf callers send requests.
 *
 * <p>Invariant: 1 to 64 letters, digits, dots, underscores or hyphens, starting with a letter or
 * digit. Immutable and safe for use by several threads.
 *
 * @param value the text of the name
 */
public record TeamName(String value) implements Comparable<TeamName> {

  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public TeamName {
    Names.requireName("team name", value);
  }

  @Override
  public int compareTo(TeamName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
