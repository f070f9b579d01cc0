package org.amaranthmoor.caller;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.TeamName;

/**
 * Decides which calls this node sheds because its processor is overloaded.
 *
 * <p>The processor is too slow for the load after a restart, when the node runs cold code and all
 * callers retry at once, or while the node's machine is slow. Without load shedding every call then
 * waits for the processor until its objective has passed, and none is served in time. The overload
 * shows in the scheduling delay, the time that tasks wait for the processor: the share of calls
 * that is admitted falls while the mean delay is above {@link #OVERLOAD_DELAY_NANOS} and rises
 * again slowly. Calls of high priority are admitted first. If only a part of the calls of one
 * priority is admitted, it is divided between teams by weighted max-min fairness over their recent
 * arrivals, so that a team that sends many times its usual load is shed first. Nested calls are not
 * submitted to the shedder: without them, work that was done already is lost. Safe for use by
 * several threads.
 */
public final class LoadShedder {

  /**
   * Mean scheduling delay above which a node is overloaded, in nanoseconds; published for DAGOR.
   */
  public static final long OVERLOAD_DELAY_NANOS = 20_000_000L;

  /** Time over which scheduling delays are averaged, in nanoseconds. */
  private static final long WINDOW_NANOS = 100_000_000L;

  /** Least share that is admitted, so that the node notices that the overload has ended. */
  private static final double MIN_ADMITTED_SHARE = 0.1;

  /** Least factor by which the admitted share is multiplied after a window with overload. */
  private static final double MIN_DECREASE_FACTOR = 0.5;

  /** Increase after a window without overload: all calls are admitted again in half a second. */
  private static final double INCREASE_PER_WINDOW = 0.2;

  /** Factor by which the arrivals of earlier windows are multiplied after each window. */
  private static final double ARRIVALS_DECAY_FACTOR = 0.8;

  private final Map<Priority, Double> arrivals = new EnumMap<>(Priority.class);
  private final Map<Priority, TeamArrivals> teamArrivals = new EnumMap<>(Priority.class);
  private final ToDoubleFunction<Optional<TeamName>> weights;
  private long windowStartNanos;
  private double delaySumNanos;
  private int delayCount;
  private double admittedShare = 1;

  /**
   * Creates a shedder that admits all calls, for which all teams have the same weight.
   *
   * @param nowNanos the current time
   */
  public LoadShedder(long nowNanos) {
    this(team -> 1, nowNanos);
  }

  /**
   * Creates a shedder that admits all calls.
   *
   * @param weights the positive weight of a team, and of all calls without one; may change
   * @param nowNanos the current time
   */
  public LoadShedder(ToDoubleFunction<Optional<TeamName>> weights, long nowNanos) {
    this.weights = weights;
    this.windowStartNanos = nowNanos;
  }

  /**
   * Records how long a task has waited for the processor.
   *
   * @param delayNanos the time from when the task could have run until it ran, in nanoseconds
   * @param nowNanos the current time
   */
  public synchronized void onSchedulingDelay(long delayNanos, long nowNanos) {
    closeWindowIfOver(nowNanos);
    delaySumNanos += Math.max(0, delayNanos);
    delayCount++;
  }

  /**
   * Decides on a call without a team that no running request needs.
   *
   * @param priority its priority
   * @param random a random number from 0 to 1
   * @param nowNanos the current time
   * @return whether it is admitted
   */
  public boolean admits(Priority priority, double random, long nowNanos) {
    return admits(priority, Optional.empty(), random, nowNanos);
  }

  /**
   * Decides on a call that no running request needs.
   *
   * @param priority its priority
   * @param team its team, or empty if it belongs to none
   * @param random a random number from 0 to 1
   * @param nowNanos the current time
   * @return whether it is admitted
   */
  public synchronized boolean admits(
      Priority priority, Optional<TeamName> team, double random, long nowNanos) {
    closeWindowIfOver(nowNanos);
    arrivals.merge(priority, 1.0, Double::sum);
    TeamArrivals teams =
        teamArrivals.computeIfAbsent(priority, key -> new TeamArrivals(weights, nowNanos));
    teams.onArrival(team);
    return admittedShare >= 1 || random < teams.admittedShareOf(team, admittedShareOf(priority));
  }

  // The admitted share of all calls is given to the priorities in order, the highest first.
  private double admittedShareOf(Priority priority) {
    double allArrivals = 0;
    double higherArrivals = 0;
    for (Map.Entry<Priority, Double> entry : arrivals.entrySet()) {
      allArrivals += entry.getValue();
      higherArrivals += entry.getKey().compareTo(priority) < 0 ? entry.getValue() : 0;
    }
    return Math.clamp(
        (admittedShare * allArrivals - higherArrivals) / arrivals.get(priority), 0, 1);
  }

  private void closeWindowIfOver(long nowNanos) {
    if (nowNanos - windowStartNanos < WINDOW_NANOS) {
      return;
    }
    windowStartNanos = nowNanos;
    double meanDelayNanos = delayCount == 0 ? 0 : delaySumNanos / delayCount;
    admittedShare =
        meanDelayNanos > OVERLOAD_DELAY_NANOS
            ? Math.max(
                MIN_ADMITTED_SHARE,
                admittedShare
                    * Math.max(MIN_DECREASE_FACTOR, OVERLOAD_DELAY_NANOS / meanDelayNanos))
            : Math.min(1, admittedShare + INCREASE_PER_WINDOW);
    delaySumNanos = 0;
    delayCount = 0;
    arrivals.replaceAll((priority, count) -> count * ARRIVALS_DECAY_FACTOR);
    teamArrivals.values().forEach(teams -> teams.onWindowEnd(nowNanos));
  }

  /** {@return the share of calls that is admitted, from 0 to 1} */
  public synchronized double admittedShare() {
    return admittedShare;
  }
}
