package org.amaranthmoor.model;

/**
 * Identifies a node across its incarnations.
 *
 * <p>Invariant: 1 to 64 letters, digits, dots, underscores or hyphens, starting with a letter or
 * digit. Immutable and safe for use by several threads.
 *
 * @param value the text of the id
 */
public record NodeName(String value) implements Comparable<NodeName> {

  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public NodeName {
    Names.requireName("node name", value);
  }

  @Override
  public int compareTo(NodeName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
