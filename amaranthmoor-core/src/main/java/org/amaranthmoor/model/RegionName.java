package org.amaranthmoor.model;

/**
 * Identifies a region, which consists of availability zones.
 *
 * <p>Invariant: 1 to 64 letters, digits, dots, underscores or hyphens, starting with a letter or
 * digit. Immutable and safe for use by several threads.
 *
 * @param value the text of the id
 */
public record RegionName(String value) implements Comparable<RegionName> {

  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public RegionName {
    Names.requireName("region", value);
  }

  @Override
  public int compareTo(RegionName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
