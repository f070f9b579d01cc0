package org.amaranthmoor.target;

/**
 * What a target states of itself in the head of an answer, for all its callers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param limit the rate of requests that it takes
 * @param leaving whether it is about to stop
 */
public record TargetNotice(Limit limit, boolean leaving) {

  /** The notice of an answer that states nothing. */
  public static final TargetNotice NONE = new TargetNotice(new Limit.Unstated(), false);

  /** The rate of requests that a target takes from all nodes together. */
  public sealed interface Limit {
    /** The answer names no rate. */
    record Unstated() implements Limit {}

    /** The answer names a rate that cannot be read. */
    record Unreadable() implements Limit {}

    /**
     * The answer names a rate.
     *
     * @param requestsPerSecond the rate, at least 0
     */
    record Rate(double requestsPerSecond) implements Limit {}
  }
}
