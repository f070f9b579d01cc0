package org.amaranthmoor.daemon.target;

import java.util.Optional;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.target.TargetNotice;
import org.amaranthmoor.target.TargetRun;

/**
 * The target beside this node: where it is reached and whether requests may be handed to it.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface LocalTarget {

  /**
   * Where a request is handed to.
   *
   * @param run the run of the target's process, or empty if runs are not distinguished
   * @param address the address of the target
   */
  record Destination(Optional<TargetRun> run, Endpoint address) {}

  /**
   * Returns why an arriving request must be refused.
   *
   * @param service the service that the request is meant for
   * @param rule the rule of the request
   * @param idempotent whether the request is idempotent, so that a failing target may be tried with
   *     it
   * @param nowNanos the current time, in monotonic nanoseconds
   * @return the result code of the refusal, or empty if the request may be handed over
   */
  Optional<ResultCode> refusalCode(
      ServiceName service, RuleName rule, boolean idempotent, long nowNanos);

  /**
   * Returns the destination of a request at the moment of the hand-over.
   *
   * @param service the service that the request is meant for
   * @param nowNanos the current time, in monotonic nanoseconds
   * @return the destination, or empty if the target no longer takes requests for the service
   */
  Optional<Destination> destination(ServiceName service, long nowNanos);

  /**
   * Records the end of an exchange with the target.
   *
   * @param rule the rule of the request
   * @param failed whether the target sent no usable response
   * @param nowNanos the current time, in monotonic nanoseconds
   */
  void onExchangeEnd(RuleName rule, boolean failed, long nowNanos);

  /**
   * Records that the target did not respond before the deadline of a request.
   *
   * @param rule the rule of the request
   * @param startNanos when the request was handed over, in monotonic nanoseconds
   * @param nowNanos the current time, in monotonic nanoseconds
   */
  void onTimeout(RuleName rule, long startNanos, long nowNanos);

  /**
   * Records that the target did not accept a connection.
   *
   * @param nowNanos the current time, in monotonic nanoseconds
   */
  void onConnectionRefused(long nowNanos);

  /**
   * Records that another target responded in place of a run.
   *
   * @param run the run that the request was meant for
   */
  void onReplaced(TargetRun run);

  /**
   * Records the notice in a response of a run.
   *
   * @param run the run that the request was handed to
   * @param notice the notice in the response
   */
  void onNotice(TargetRun run, TargetNotice notice);

  /**
   * Records that a run is leaving, so that no more requests are handed to it.
   *
   * @param run the run
   */
  void onLeaving(TargetRun run);

  /**
   * Returns whether a run no longer takes requests.
   *
   * @param run the run
   * @return whether the run is leaving or has left
   */
  boolean isLeaving(TargetRun run);

  /** {@return the newest known run, or empty if there is none or runs are not distinguished} */
  Optional<TargetRun> newestRun();
}
