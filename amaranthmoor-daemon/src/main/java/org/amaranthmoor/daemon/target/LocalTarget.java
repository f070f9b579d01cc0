package org.amaranthmoor.daemon.target;

import java.util.Optional;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.target.TargetNotice;
import org.amaranthmoor.target.TargetRun;

/**
 * Knows which target stands beside this node and whether requests may be handed to it.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface LocalTarget {

  /**
   * The target that a request is handed to.
   *
   * @param run the run of its process, or empty if it does not tell runs apart
   * @param address its address
   */
  record Destination(Optional<TargetRun> run, Endpoint address) {}

  /**
   * Returns why a request that arrives may not be handed over.
   *
   * @param service the service it is meant for
   * @param idempotent whether it may be lost without harm
   * @param nowNanos the current time
   * @return the obstacle, or empty if there is none
   */
  Optional<ResultCode> refusalCode(ServiceName service, boolean idempotent, long nowNanos);

  /**
   * Returns the target at the moment of the hand-over.
   *
   * @param service the service the request is meant for
   * @param nowNanos the current time
   * @return the target, or empty if none takes requests for the service any more
   */
  Optional<Destination> destination(ServiceName service, long nowNanos);

  /**
   * Takes in the end of a request at the target.
   *
   * @param failed whether the target gave no answer of its own
   * @param nowNanos the current time
   */
  void onExchangeEnd(boolean failed, long nowNanos);

  /**
   * Takes in that the target gave no answer before a request's deadline.
   *
   * @param startNanos when the request was handed over
   * @param nowNanos the current time
   */
  void onTimeout(long startNanos, long nowNanos);

  /**
   * Takes in that the target accepted no connection.
   *
   * @param nowNanos the current time
   */
  void onConnectFailure(long nowNanos);

  /**
   * Takes in that another target answered in the place of a run.
   *
   * @param run the run that was meant
   */
  void onReplaced(TargetRun run);

  /**
   * Takes in what a run states of itself in an answer.
   *
   * @param run the run that the request was handed to
   * @param notice what the answer states
   */
  void onNotice(TargetRun run, TargetNotice notice);

  /**
   * Takes in that a run leaves, so that nothing more is handed to it.
   *
   * @param run the run
   */
  void onLeaving(TargetRun run);

  /**
   * Returns whether a run takes no requests any more.
   *
   * @param run the run
   * @return whether it leaves or has left
   */
  boolean isLeaving(TargetRun run);

  /** {@return the newest run that is known, or empty if runs are not told apart} */
  Optional<TargetRun> newestRun();
}
