package org.amaranthmoor.testkit.mesh;

import java.util.Optional;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.RuleName;

/**
 * A kind of request. Immutable and safe for use by several threads.
 *
 * @param rule its rule
 * @param service number of the service that runs it
 * @param priority its priority
 * @param workMillis mean work at the usual speed
 * @param objectiveMillis time within which an answer earns its full worth
 * @param deadlineMillis how long callers wait
 * @param worth worth of an answer in time
 * @param perSecond arrivals a second in all zones; 0 for kinds that are only called
 * @param call what a run calls while it holds its slot
 */
public record MeshRequestKind(
    RuleName rule,
    int service,
    Priority priority,
    double workMillis,
    double objectiveMillis,
    double deadlineMillis,
    double worth,
    double perSecond,
    Optional<Call> call) {

  /** Part of its worth that a late answer earns. */
  static final double LATE_WORTH_SHARE = 0.1;

  /**
   * Calls of a run.
   *
   * @param kind what is called
   * @param times how often
   * @param share part of the runs that call
   */
  public record Call(MeshRequestKind kind, int times, double share) {}
}
