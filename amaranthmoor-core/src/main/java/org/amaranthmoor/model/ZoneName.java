package org.amaranthmoor.model;

/**
 * Identifies an availability zone.
 *
 * <p>Invariant: 1 to 64 letters, digits, dots, underscores or hyphens, starting with a letter or
 * digit. Immutable and safe for use by several threads.
 *
 * @param value the text of the id
 */
public record ZoneName(String value) implements Comparable<ZoneName> {

  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public ZoneName {
    Names.requireName("availability zone", value);
  }

  @Override
  public int compareTo(ZoneName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
