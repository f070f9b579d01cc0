package org.amaranthmoor.target;

/**
 * What a target states about itself in the header fields of an answer. It applies to all callers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param limit the request rate that the target accepts
 * @param leaving whether the target is about to stop
 */
public record TargetNotice(Limit limit, boolean leaving) {

  /** The notice of an answer without any statement. */
  public static final TargetNotice NONE = new TargetNotice(new Limit.Unstated(), false);

  /** The request rate that a target accepts from all nodes together. */
  public sealed interface Limit {
    /** The answer states no rate. */
    record Unstated() implements Limit {}

    /** The answer states a rate that cannot be parsed. */
    record Unreadable() implements Limit {}

    /**
     * The answer states a rate.
     *
     * @param requestsPerSecond the rate in requests per second, at least 0
     */
    record Rate(double requestsPerSecond) implements Limit {}
  }
}
