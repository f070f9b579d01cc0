package org.amaranthmoor.model;

/**
 * Identifies a service that callers address.
 *
 * <p>Invariant: 1 to 64 letters, digits, dots, underscores or hyphens, starting with a letter or
 * digit. Immutable and safe for use by several threads.
 *
 * @param value the text of the id
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public ServiceName {
    Names.requireName("service name", value);
  }

  @Override
  public int compareTo(ServiceName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
