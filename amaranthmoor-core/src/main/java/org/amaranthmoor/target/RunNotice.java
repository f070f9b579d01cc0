package org.amaranthmoor.target;

/**
 * A notice together with the run of the target that stated it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param run the run
 * @param notice its notice; if no limit is stated, an earlier one has ended
 */
public record RunNotice(TargetRun run, TargetNotice notice) {

  /** {@return whether the notice restricts the requests that may be sent to the run} */
  public boolean restricts() {
    return notice.leaving() || notice.limit() instanceof TargetNotice.Limit.Rate;
  }
}
