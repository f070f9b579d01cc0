package org.amaranthmoor.target;

/**
 * What one run of a target states of itself.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param run the run
 * @param notice what it states; a limit that is not stated has ended
 */
public record RunNotice(TargetRun run, TargetNotice notice) {

  /** {@return whether it restricts what may be sent to the run} */
  public boolean restricts() {
    return notice.leaving() || notice.limit() instanceof TargetNotice.Limit.Rate;
  }
}
