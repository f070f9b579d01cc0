package org.amaranthmoor.model;

/**
 * Identifies a target across replacements of its instance.
 *
 * <p>Invariant: 1 to 64 letters, digits, dots, underscores or hyphens, starting with a letter or
 * digit. Immutable and safe for use by several threads.
 *
 * @param value the text of the id
 */
public record TargetName(String value) implements Comparable<TargetName> {

  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public TargetName {
    Names.requireName("target name", value);
  }

  @Override
  public int compareTo(TargetName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
