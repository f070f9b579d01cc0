package org.amaranthmoor.testkit.mesh;

import java.util.Optional;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.RuleName;

/**
 * A kind of request. Immutable and safe for use by several threads.
 *
 * @param rule its rule
 * @param service index of the service that runs it
 * @param priority its priority
 * @param workMillis mean run time on a target that is not slowed down
 * @param objectiveMillis latency up to which a response earns its full worth
 * @param deadlineMillis how long callers wait
 * @param worth worth of a response within the objective
 * @param perSecond arrivals per second in all zones; 0 for kinds that only other requests call
 * @param call the nested calls that a run makes while it holds its slot
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

  /** Share of its worth that a response after the objective earns. */
  static final double LATE_WORTH_SHARE = 0.1;

  /**
   * The nested calls of a run, which it makes one after the other.
   *
   * @param kind kind of the nested calls
   * @param times number of nested calls
   * @param share share of the runs that make nested calls
   */
  public record Call(MeshRequestKind kind, int times, double share) {}
}
