package org.amaranthmoor.target;

/**
 * What a target of a service takes while it is cold after its start. A cold target that gets more
 * fails.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param maxPerSecond largest number of requests within any second, at least 0
 * @param durationNanos usual length of a cold start, in nanoseconds, at least 0
 */
public record ColdStart(int maxPerSecond, long durationNanos) {

  /** For a service whose cold targets take any load. */
  public static final ColdStart UNLIMITED = new ColdStart(Integer.MAX_VALUE, 0);

  /** Validates the values. */
  public ColdStart {
    if (maxPerSecond < 0 || durationNanos < 0) {
      throw new IllegalArgumentException(
          "maxPerSecond and durationNanos must be at least 0, but were: "
              + maxPerSecond
              + ", "
              + durationNanos);
    }
  }

  /** {@return whether a cold target must get fewer requests than a warm one} */
  public boolean isLimited() {
    return maxPerSecond < Integer.MAX_VALUE;
  }
}
