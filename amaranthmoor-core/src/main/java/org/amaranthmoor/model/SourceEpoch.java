package org.amaranthmoor.model;

/**
 * Epoch of the source, which stores the configuration and the shared records.
 *
 * <p>Rises each time the source is restored from an older copy of itself. A position in the source,
 * and the acknowledgement of a record, are valid within one epoch only.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param number the number, at least 0; 0 for a source that reports no epoch
 */
public record SourceEpoch(long number) implements Comparable<SourceEpoch> {

  /** Epoch of a source that reports none; lower than any reported epoch. */
  public static final SourceEpoch UNKNOWN = new SourceEpoch(0);

  /**
   * Checks the number.
   *
   * @throws IllegalArgumentException if the number is negative
   */
  public SourceEpoch {
    if (number < 0) {
      throw new IllegalArgumentException("source epoch must be at least 0, but was: " + number);
    }
  }

  /** {@return whether the source has reported this epoch} */
  public boolean known() {
    return number > 0;
  }

  @Override
  public int compareTo(SourceEpoch other) {
    return Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}
